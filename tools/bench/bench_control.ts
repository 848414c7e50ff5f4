import * as httpClient from "../../src/http_client/mod.ts";
import * as topologies from "../deployment/topology.ts";
import * as adminRequests from "../deployment/send_admin_request.ts";
import type * as deployments from "../deployment/deployment.ts";
import * as controlDeployments from "./control_deployment.ts";
import * as ledgers from "../stand_ins/ledger.ts";
import * as quantiles from "../demo/quantiles.ts";
import * as processUsages from "./process_usage.ts";
import * as sleeps from "../stand_ins/sleep.ts";

const FOLDER = "out/bench/control";
const START_TIMEOUT_MS = 30_000;
const CHANGE_EVERY_MS = 150;
const CHANGES = 100;
/** Time for the JIT compiler of the daemons to warm up, in ms. */
const WARM_UP_MS = 40_000;
const IDLE_SECONDS = 10;
const IN_FORCE_WAIT_MS = 10_000;
const CALL_TIMEOUT_MS = 12_000;

/** A change that the control plane accepted. */
interface AcceptedChange {
  readonly revision: number;
  readonly isInForce: boolean;
  /** Time from the first attempt to the answer, in ms. */
  readonly tookMs: number;
}

/** Runs the control bench on a deployment of its own. */
class ControlBench {
  readonly #boxes: readonly topologies.DeployedBox[];
  readonly #deployment: deployments.Deployment;
  #requestCount = 0;
  #revision = 0;
  #weightVersion = 1;
  #stoppedBox: string | undefined;
  #accepted: readonly AcceptedChange[] = [];

  constructor(boxCount: number) {
    this.#boxes = topologies.listBoxes(boxCount, Math.min(5, boxCount));
    const boxes = this.#boxes;
    this.#deployment = controlDeployments.createControlDeployment({
      folder: FOLDER,
      boxes,
    });
  }

  async run(): Promise<void> {
    try {
      this.#deployment.start();
      await this.#setUp();
      await sleeps.sleep(WARM_UP_MS);
      const idle = await this.#measureUsage(() =>
        sleeps.sleep(IDLE_SECONDS * 1_000)
      );
      const changing = await this.#measureUsage(() => this.#runChanges());
      const failoverMs = await this.#measureFailover("SIGKILL");
      const frozenMs = await this.#measureFailover("SIGSTOP");
      await this.#report({ idle, changing, failoverMs, frozenMs });
    } finally {
      await this.#deployment.stop();
    }
  }

  async #setUp(): Promise<void> {
    const endMs = Date.now() + START_TIMEOUT_MS;
    while (await this.#countLeasedBoxes() < this.#boxes.length) {
      if (Date.now() > endMs) {
        throw new Error("Cannot start the bench: not every box has a lease");
      }
      await sleeps.sleep(200);
    }
    await this.#putUntilAnswered("/v1/accounts/cascade", {
      requestId: "account",
      baseRevision: 0,
      tokens: ["token-of-the-bench"],
    });
    const created = await this.#putUntilAnswered(
      controlDeployments.TEMPLATE_PATH,
      {
        requestId: "template",
        baseRevision: 0,
        parameters: { trainer: "t", model: controlDeployments.MODEL },
      },
    );
    this.#revision = created.revision;
  }

  async #countLeasedBoxes(): Promise<number> {
    const status = await this.#sendRequest("GET", "/v1/status");
    return ((status as { readonly boxes?: readonly unknown[] } | undefined)
      ?.boxes ?? []).length;
  }

  async #runChanges(): Promise<void> {
    for (let count = 0; count < CHANGES; count += 1) {
      const dueMs = Date.now() + CHANGE_EVERY_MS;
      await this.#changeTemplate(`change-${count}`);
      await sleeps.sleep(Math.max(0, dueMs - Date.now()));
    }
  }

  async #changeTemplate(
    requestId: string,
    waitMs = IN_FORCE_WAIT_MS,
  ): Promise<AcceptedChange> {
    const accepted = await this.#putUntilAnswered(
      controlDeployments.TEMPLATE_PATH,
      {
        requestId,
        baseRevision: this.#revision,
        parameters: { maxConcurrent: 1 + this.#accepted.length },
        waitMs,
      },
    );
    this.#revision = accepted.revision;
    this.#accepted = [...this.#accepted, accepted];
    return accepted;
  }

  /** Measures the time from a leader's failure to an accepted change, in ms. */
  async #measureFailover(signal: "SIGKILL" | "SIGSTOP"): Promise<number> {
    const status = await this.#sendRequest("GET", "/v1/status") as {
      readonly leader: string;
    };
    const startMs = Date.now();
    this.#stoppedBox = status.leader;
    this.#deployment.getChild(status.leader).kill(signal);
    await this.#changeTemplate(`after-${signal}`, 0);
    const tookMs = Date.now() - startMs;
    await this.#publishWeights();
    await sleeps.sleep(4_000);
    if (signal === "SIGSTOP") {
      this.#deployment.getChild(status.leader).kill("SIGCONT");
    } else this.#deployment.startBox(status.leader);
    this.#stoppedBox = undefined;
    await sleeps.sleep(4_000);
    return tookMs;
  }

  /** Publishes a weight version; the leader then sends orders to the engine. */
  async #publishWeights(): Promise<void> {
    this.#weightVersion += 1;
    await httpClient.sendJson({
      baseUrl:
        `http://${topologies.WEIGHT_STORE_ADDRESS}:${topologies.PLATFORM_PORT}`,
      method: "POST",
      path: "/v1/models",
      json: {
        model: controlDeployments.MODEL,
        weightVersion: this.#weightVersion,
      },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Counts orders that arrived after one with a higher fencing number. */
  #countStaleOrders(): OrderCounts {
    const entries = ledgers.readLedgers(this.#deployment.getLedgerFolder());
    const orders = entries.filter((entry) => entry.kind === "order").sort((
      a,
      b,
    ) => a.atMs - b.atMs);
    let fence = 0;
    let staleOrders = 0;
    for (const order of orders) {
      if (order.fence < fence) staleOrders += 1;
      fence = Math.max(fence, order.fence);
    }
    return { orders: orders.length, staleOrders };
  }

  /** Repeats a change under the same request id until it is accepted. */
  async #putUntilAnswered(path: string, body: object): Promise<AcceptedChange> {
    const startMs = Date.now();
    for (;;) {
      const answer = await this.#sendRequest("PUT", path, body);
      if (answer !== undefined) {
        return { ...answer as AcceptedChange, tookMs: Date.now() - startMs };
      }
      await sleeps.sleep(20);
    }
  }

  async #sendRequest(
    method: string,
    path: string,
    json?: unknown,
  ): Promise<unknown> {
    this.#requestCount += 1;
    const runningBoxes = this.#boxes.filter((candidate) =>
      candidate.box !== this.#stoppedBox
    );
    const box = runningBoxes[
      this.#requestCount % runningBoxes.length
    ] as topologies.DeployedBox;
    return await adminRequests.sendAdminRequest(box.address, {
      method,
      path,
      timeoutMs: method === "GET" ? 3_000 : CALL_TIMEOUT_MS,
      ...(json === undefined ? {} : { json }),
    });
  }

  async #measureUsage(action: () => Promise<void>): Promise<DaemonUsage> {
    const before = this.#readUsages();
    const startMs = Date.now();
    await action();
    const seconds = (Date.now() - startMs) / 1_000;
    const after = this.#readUsages();
    const fractions = after.map((usage, index) =>
      (usage.cpuSeconds - (before[index]?.cpuSeconds ?? 0)) / seconds
    );
    const entries = fractions.filter((_, index) =>
      this.#boxes[index]?.hasState === false
    );
    return {
      replicaCpuFraction: trimFigure(
        getMean(
          fractions.filter((_, index) => this.#boxes[index]?.hasState === true),
        ),
      ),
      entryCpuFraction: trimFigure(getMean(entries)),
      maxCpuFraction: trimFigure(Math.max(...fractions)),
      meanResidentMb: trimFigure(
        getMean(after.map((usage) => usage.residentMb)),
      ),
    };
  }

  #readUsages(): readonly processUsages.ProcessUsage[] {
    return this.#boxes.map((box) =>
      processUsages.readUsage(this.#deployment.getChild(box.box).getPid())
    );
  }

  async #report(
    measured: {
      readonly idle: DaemonUsage;
      readonly changing: DaemonUsage;
      readonly failoverMs: number;
      readonly frozenMs: number;
    },
  ): Promise<void> {
    const inForceMs = quantiles.computeQuantiles(
      this.#accepted.slice(0, CHANGES).map((accepted) => accepted.tookMs),
    );
    const audit = await this.#sendRequest(
      "GET",
      "/v1/audit?limit=1000&template=notes",
    ) as { readonly records: readonly { readonly revision: number }[] };
    const auditedRevisions = new Set(
      audit.records.map((record) => record.revision),
    );
    const lostChanges =
      this.#accepted.filter((accepted) =>
        !auditedRevisions.has(accepted.revision)
      ).length;
    const revertedChanges = await this.#countRevertedBoxes();
    console.log(
      `${this.#boxes.length} boxes, ${this.#accepted.length} changes; in force p50 ${inForceMs.p50} ms, p99 ${inForceMs.p99} ms, max ${inForceMs.max} ms`,
    );
    console.log(
      `change accepted after a leader's kill: ${measured.failoverMs} ms; after its freeze: ${measured.frozenMs} ms`,
    );
    console.log(
      JSON.stringify({
        boxes: this.#boxes.length,
        lostChanges,
        revertedChanges,
        doubleAccepted: auditedRevisions.size === audit.records.length ? 0 : 1,
        inForceMs,
        ...this.#countStaleOrders(),
        ...measured,
      }),
    );
  }

  async #countRevertedBoxes(): Promise<number> {
    const revisions = await Promise.all(this.#boxes.map(async (box) => {
      const answer = await adminRequests.sendAdminRequest(box.address, {
        method: "GET",
        path: controlDeployments.TEMPLATE_PATH,
        timeoutMs: 2_000,
      }) as { readonly revision?: number } | undefined;
      return answer?.revision ?? 0;
    }));
    return revisions.filter((revision) => revision !== this.#revision).length;
  }
}

/** Orders that the engine received. */
interface OrderCounts {
  readonly orders: number;
  readonly staleOrders: number;
}

/** Processor time, as a fraction of one core, and memory of the daemons. */
interface DaemonUsage {
  readonly replicaCpuFraction: number;
  readonly entryCpuFraction: number;
  readonly maxCpuFraction: number;
  readonly meanResidentMb: number;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}

function trimFigure(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/**
 * Measures the latency of changes, failover, and the processor time and memory
 * of the control plane.
 *
 * @param boxCount Number of boxes; up to five of them hold the state.
 */
export async function benchControl(boxCount: number): Promise<void> {
  await new ControlBench(boxCount).run();
}
