import * as distribution from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as zlib from "node:zlib";
import * as engines from "../../src/engine/mod.ts";
import * as httpClient from "../../src/http_client/mod.ts";
import * as addressBooks from "./address_book.ts";
import * as ledgers from "./ledger.ts";
import * as sleeps from "./sleep.ts";

/** Settings of the callers' process, passed as JSON in its first argument. */
export interface CallerSettings {
  /** Prefix of the call ids; unique among caller processes. */
  readonly name: string;
  readonly token: string;
  /** Addresses of boxes to ask first. */
  readonly seeds: readonly addressBooks.ServiceAddress[];
  readonly ledgerFile: string;
  readonly service: string;
  readonly model: string;
  /** Seed of the random choice of operations. */
  readonly seed: number;
  /** Rate of an open loop: it does not depend on the answers. */
  readonly requestsPerSecond: number;
  /** Share of ledger syncs, from 0 to 1. */
  readonly syncShare: number;
  /** Share of completions, from 0 to 1; the rest are lookups. */
  readonly completionShare: number;
  readonly maxTokens: number;
  /** Time during which requests are sent, in ms. */
  readonly runMs: number;
}

/** A request of a caller; its attempts share the call id. */
interface Call {
  readonly operation: ledgers.CallEntry["operation"];
  readonly callId: string;
  readonly prompt: string;
}

/** Result of one attempt. */
interface AttemptResult {
  readonly outcome: ledgers.CallAttempt["outcome"];
  readonly answeredId: string;
  readonly isWhole: boolean;
  readonly tokens: readonly number[];
  /** Delay before the next attempt, in ms. */
  readonly retryAfterMs: number;
}

const CALL_DEADLINE_MS = 30_000;
const ATTEMPT_TIMEOUT_MS = 12_000;
const DEFAULT_RETRY_DELAY_MS = 150;

const FAILED_ATTEMPT: AttemptResult = {
  outcome: "broken",
  answeredId: "",
  isWhole: false,
  tokens: [],
  retryAfterMs: DEFAULT_RETRY_DELAY_MS,
};

/**
 * Simulates callers. Each request is retried until it is answered, refused
 * without a retry delay or past its deadline. A ledger sync is not retried
 * after an answer that its outcome is unknown.
 */
class CallerProcess {
  readonly #settings: CallerSettings;
  readonly #ledger: ledgers.LedgerWriter;
  readonly #addressBook: addressBooks.AddressBook;
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;
  #callCount = 0;
  #isStopped = false;

  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#ledger = new ledgers.LedgerWriter(settings.ledgerFile);
    this.#addressBook = new addressBooks.AddressBook(
      settings.seeds,
      settings.seed,
    );
    this.#random = generator.xoroshiro128plus(settings.seed);
  }

  /** Stops sending new requests; `run` still waits for those in flight. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends requests on a fixed schedule, then waits for all answers. */
  async run(): Promise<void> {
    const { requestsPerSecond, runMs } = this.#settings;
    const startMs = Date.now();
    const running: Promise<void>[] = [];
    const total = Math.floor(requestsPerSecond * runMs / 1_000);
    for (let index = 0; index < total && !this.#isStopped; index += 1) {
      const dueMs = startMs + index * 1_000 / requestsPerSecond;
      await sleeps.sleep(Math.max(0, dueMs - Date.now()));
      running.push(this.#runCall(this.#createCall()));
    }
    await Promise.all(running);
  }

  #createCall(): Call {
    const { name, syncShare, completionShare } = this.#settings;
    const draw = distribution.uniformFloat64(this.#random);
    this.#callCount += 1;
    const callId = `${name}-${this.#callCount}`;
    const prompt = `question of a merchant ${callId}`;
    if (draw < syncShare) return { operation: "sync", callId, prompt };
    if (draw < syncShare + completionShare) {
      return { operation: "completion", callId, prompt };
    }
    return { operation: "lookup", callId, prompt };
  }

  async #runCall(call: Call): Promise<void> {
    const endMs = Date.now() + CALL_DEADLINE_MS;
    const tries: ledgers.CallAttempt[] = [];
    let last = FAILED_ATTEMPT;
    while (Date.now() < endMs) {
      const target = await this.#addressBook.pick();
      const sentMs = Date.now();
      last = await this.#tryCall(call, target);
      tries.push({
        box: target.box,
        sentMs,
        endedMs: Date.now(),
        outcome: last.outcome,
      });
      if (last.outcome === "answered" || last.outcome === "refused") break;
      if (last.outcome === "unknown" && call.operation === "sync") break;
      if (last.outcome !== "notRun") this.#addressBook.avoid(target.box);
      await sleeps.sleep(last.retryAfterMs);
    }
    const { answeredId, isWhole, tokens, outcome } = last;
    const isAnswered = outcome === "answered";
    this.#ledger.add({
      kind: "call",
      ...call,
      tries,
      isAnswered,
      answeredId,
      isWhole,
      tokens,
    });
  }

  #tryCall(
    call: Call,
    target: addressBooks.ServiceAddress,
  ): Promise<AttemptResult> {
    switch (call.operation) {
      case "lookup":
        return this.#sendRequest(call, target, {
          method: "GET",
          path:
            `/services/${this.#settings.service}/stock?callId=${call.callId}`,
        });
      case "sync":
        return this.#sendRequest(call, target, {
          method: "POST",
          path: `/services/${this.#settings.service}/ledger-sync`,
          json: { callId: call.callId },
          headers: { "idempotency-key": call.callId },
        });
      case "completion":
        return this.#streamCompletion(call, target);
    }
  }

  async #sendRequest(
    call: Call,
    target: addressBooks.ServiceAddress,
    request: Pick<
      httpClient.JsonRequest,
      "method" | "path" | "json" | "headers"
    >,
  ): Promise<AttemptResult> {
    const answer = await httpClient.sendJson({
      ...request,
      baseUrl: `http://${target.address}:${target.port}`,
      headers: {
        authorization: `Bearer ${this.#settings.token}`,
        ...request.headers,
      },
      timeoutMs: ATTEMPT_TIMEOUT_MS,
    });
    if (answer.kind === "failure") {
      return {
        ...FAILED_ATTEMPT,
        outcome: answer.failure.outcome === "notRun" ? "notSent" : "broken",
      };
    }
    if (answer.value.status === 200) return parseAnswer(answer.value.json);
    return parseRefusal(answer.value.json, call);
  }

  /** Reads the completion with the event parser that is used for engines. */
  async #streamCompletion(
    call: Call,
    target: addressBooks.ServiceAddress,
  ): Promise<AttemptResult> {
    const { token, model, maxTokens } = this.#settings;
    const tokens: number[] = [];
    let answer: AttemptResult = FAILED_ATTEMPT;
    await new Promise<void>((resolve) => {
      const body = JSON.stringify({
        model,
        prompt: call.prompt,
        max_tokens: maxTokens,
        stream: true,
      });
      const reader = new engines.EventReader((event) =>
        tokens.push(...event.tokenIds)
      );
      let status = 0;
      let refusal = "";
      httpClient.openExchange({
        address: target.address,
        port: target.port,
        method: "POST",
        path: "/v1/completions",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${token}`,
        },
        body,
        timeoutMs: ATTEMPT_TIMEOUT_MS,
      }, {
        onHead(head) {
          status = head.status;
        },
        onData(chunk) {
          if (status === 200) reader.read(chunk);
          else refusal += chunk.toString("utf8");
        },
        onEnd() {
          answer = status === 200
            ? {
              ...FAILED_ATTEMPT,
              outcome: reader.isEnded() ? "answered" : "broken",
              answeredId: call.callId,
              isWhole: reader.isEnded(),
              tokens,
            }
            : parseRefusal(JSON.parse(refusal), call);
          resolve();
        },
        onFail({ isSent }) {
          answer = {
            ...FAILED_ATTEMPT,
            outcome: isSent ? "broken" : "notSent",
          };
          resolve();
        },
      });
    });
    return answer;
  }
}

function parseAnswer(json: unknown): AttemptResult {
  const { callId, text, checksum } = json as {
    readonly callId: string;
    readonly text: string;
    readonly checksum: number;
  };
  const isWhole = zlib.crc32(text) === checksum &&
    text.startsWith(`${callId} `);
  return {
    ...FAILED_ATTEMPT,
    outcome: "answered",
    answeredId: callId,
    isWhole,
  };
}

function parseRefusal(json: unknown, call: Call): AttemptResult {
  const { error } = json as {
    readonly error: {
      readonly outcome: string;
      readonly retryAfterMs?: number;
    };
  };
  const retryAfterMs = error.retryAfterMs;
  if (error.outcome === "notRun" && retryAfterMs === undefined) {
    return { ...FAILED_ATTEMPT, outcome: "refused" };
  }
  const outcome = error.outcome === "notRun" ? "notRun" : "unknown";
  const isFinal = outcome === "unknown" && call.operation === "sync";
  return {
    ...FAILED_ATTEMPT,
    outcome,
    retryAfterMs: isFinal ? 0 : retryAfterMs ?? DEFAULT_RETRY_DELAY_MS,
  };
}

const callers = new CallerProcess(
  JSON.parse(process.argv[2] ?? "{}") as CallerSettings,
);
process.once("SIGTERM", () => callers.stop());
await callers.run();
