import * as httpClient from "../../src/http_client/mod.ts";
import * as topologies from "../deployment/topology.ts";
import * as deployments from "../deployment/deployment.ts";
import * as quantiles from "../demo/quantiles.ts";
import * as ledgerVerification from "../demo/verify_ledgers.ts";
import type * as callerRuns from "../stand_ins/run_callers.ts";
import * as ledgers from "../stand_ins/ledger.ts";
import * as sleeps from "../stand_ins/sleep.ts";

const FOLDER = "out/bench/rolling";
const BOXES = 9;
const REPLICAS = 5;
const START_TIMEOUT_MS = 30_000;
const CALLS_PER_SECOND = 120;
const COMPLETION_TOKENS = 64;
const ANSWER_LENGTHS = { median: 20, sigma: 0.6 };
const ACCOUNT_TOKEN = "account-token-of-the-bench";
/** Time allowed for one box to stop and serve again, in ms. */
const BOX_RESTART_TIMEOUT_MS = 30_000;
const OPERATIONS = ["lookup", "sync", "completion"] as const;

/** A deployment whose boxes are restarted in turn under load. */
class RollingRestart {
  readonly #boxes = topologies.listBoxes(BOXES, REPLICAS);
  readonly #deployment = new deployments.Deployment({
    folder: FOLDER,
    boxes: this.#boxes,
    servers: topologies.listServers(4, 4),
    models: { "sommelier-lm": 1 },
    engine: {
      slots: 16,
      stepMs: 6,
      lengths: ANSWER_LENGTHS,
      swapMs: 100,
      failedSwaps: 0,
    },
    plain: { callMs: 4, slots: 32 },
    downloadsPerSecond: 8,
  });
  readonly #eventLedger = new ledgers.LedgerWriter(
    this.#deployment.getLedgerFile("events"),
  );
  #exitCodes: readonly (number | null)[] = [];

  async run(): Promise<void> {
    try {
      this.#deployment.start();
      await this.#waitForBoxes(BOXES);
      await this.#createAccount();
      const callers = this.#startCallers();
      const startMs = Date.now();
      for (const box of this.#boxes) await this.#restart(box);
      const rollingMs = Date.now() - startMs;
      callers.kill("SIGTERM");
      await callers.ended;
      this.#report(rollingMs);
    } finally {
      await this.#deployment.stop();
    }
  }

  #startCallers() {
    const settings: callerRuns.CallerSettings = {
      name: "till",
      token: ACCOUNT_TOKEN,
      seeds: this.#boxes,
      ledgerFile: this.#deployment.getLedgerFile("callers"),
      service: "cellar-app",
      model: "sommelier-lm",
      seed: 5,
      requestsPerSecond: CALLS_PER_SECOND,
      syncShare: 0.2,
      completionShare: 0.1,
      maxTokens: COMPLETION_TOKENS,
      runMs: BOXES * BOX_RESTART_TIMEOUT_MS,
    };
    return this.#deployment.startClient("callers", "run_callers", settings);
  }

  async #restart(box: topologies.DeployedBox): Promise<void> {
    const startMs = Date.now();
    this.#eventLedger.add({
      kind: "event",
      event: "planStop",
      target: box.box,
      atMs: startMs,
    });
    const child = this.#deployment.getChild(box.box);
    child.kill("SIGTERM");
    const end = await child.ended;
    const stoppedMs = Date.now();
    this.#eventLedger.add({
      kind: "event",
      event: "stopped",
      target: box.box,
      atMs: stoppedMs,
    });
    this.#exitCodes = [...this.#exitCodes, end.code];
    this.#deployment.startBox(box.box);
    await this.#waitForBoxes(BOXES);
    console.log(
      `${box.box} stopped in ${stoppedMs - startMs} ms, served again after ${
        Date.now() - stoppedMs
      } ms`,
    );
  }

  /** Waits until every box lists `count` addresses to callers. */
  async #waitForBoxes(count: number): Promise<void> {
    const endMs = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const listedCounts = await Promise.all(
        this.#boxes.map((box) => this.#countListedBoxes(box)),
      );
      if (listedCounts.every((number) => number === count)) return;
      if (Date.now() > endMs) {
        throw new Error(
          `Cannot continue the bench: the boxes list ${
            listedCounts.join(",")
          } of ${count} addresses`,
        );
      }
      await sleeps.sleep(100);
    }
  }

  async #countListedBoxes(box: topologies.DeployedBox): Promise<number> {
    const answer = await httpClient.sendJson({
      baseUrl: `http://${box.address}:${box.port}`,
      method: "GET",
      path: "/v1/addresses",
      timeoutMs: 1_000,
    });
    if (answer.kind === "failure" || answer.value.status !== 200) return 0;
    return (answer.value.json as { readonly addresses: readonly unknown[] })
      .addresses.length;
  }

  async #createAccount(): Promise<void> {
    const answer = await httpClient.sendJson({
      baseUrl: `http://${this.#boxes[0]?.address}:${topologies.ADMIN_PORT}`,
      method: "PUT",
      path: "/v1/accounts/cascade",
      headers: { authorization: `Bearer ${deployments.ROOT_TOKEN}` },
      json: { baseRevision: 0, requestId: "create", tokens: [ACCOUNT_TOKEN] },
      timeoutMs: 15_000,
    });
    if (answer.kind === "failure" || answer.value.status !== 200) {
      throw new Error("Cannot create the account");
    }
  }

  #report(rollingMs: number): void {
    const entries = ledgers.readLedgers(this.#deployment.getLedgerFolder());
    const verdict = ledgerVerification.verifyLedgers(entries, {
      lengths: ANSWER_LENGTHS,
      sampleTokens: 0,
      completionTokens: COMPLETION_TOKENS,
    });
    const calls = entries.filter((entry) => entry.kind === "call");
    const refusedTries =
      calls.flatMap((call) => call.tries).filter((attempt) =>
        attempt.outcome !== "answered"
      ).length;
    const latencyMs = Object.fromEntries(OPERATIONS.map((operation) => [
      operation,
      quantiles.computeQuantiles(
        calls.filter((call) => call.operation === operation).map(getLatencyMs),
      ),
    ]));
    const {
      requests,
      failedRequests,
      truncatedAnswers,
      crossedAnswers,
      doubledNonRepeatable,
      falseNotRun,
      cutOffByPlannedStop,
    } = verdict;
    const exitCodes = this.#exitCodes;
    console.log(JSON.stringify({
      boxes: BOXES,
      rollingMs,
      exitCodes,
      requests,
      refusedTries,
      failedRequests,
      truncatedAnswers,
      crossedAnswers,
      doubledNonRepeatable,
      falseNotRun,
      cutOffByPlannedStop,
      latencyMs,
    }));
  }
}

/** Returns the time from the first attempt to the final answer, in ms. */
function getLatencyMs(call: ledgers.CallEntry): number {
  return (call.tries.at(-1)?.endedMs ?? 0) - (call.tries[0]?.sentMs ?? 0);
}

/**
 * Restarts every box in turn while callers send requests, and reports failed,
 * truncated and repeated requests.
 */
export async function benchRolling(): Promise<void> {
  await new RollingRestart().run();
}
