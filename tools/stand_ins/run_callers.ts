import * as distribution from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as zlib from "node:zlib";
import * as engines from "../../src/engine/mod.ts";
import * as httpClient from "../../src/http_client/mod.ts";
import * as addressBooks from "./address_book.ts";
import * as ledgers from "./ledger.ts";
import * as sleeps from "./sleep.ts";

/** What the callers' process is told. */
export interface CallerSettings {
  readonly name: string;
  readonly token: string;
  readonly seeds: readonly addressBooks.KnownAddress[];
  readonly ledgerFile: string;
  readonly service: string;
  readonly model: string;
  readonly seed: number;
  /** Requests sent a second, whatever the answers do. */
  readonly requestsPerSecond: number;
  /** Share of syncs and of completions; the rest are lookups. */
  readonly syncShare: number;
  readonly completionShare: number;
  readonly maxTokens: number;
  /** How long to send, in ms. */
  readonly runMs: number;
}

/** A request to be answered once. */
interface Call {
  readonly operation: ledgers.CallEntry["operation"];
  readonly callId: string;
  readonly prompt: string;
}

/** What one try brought. */
interface TryResult {
  readonly outcome: ledgers.CallTry["outcome"];
  readonly answeredId: string;
  readonly isWhole: boolean;
  readonly tokens: readonly number[];
  readonly retryAfterMs: number;
}

const CALL_DEADLINE_MS = 30_000;
const TRY_TIMEOUT_MS = 12_000;
const DEFAULT_RETRY_MS = 150;

const FAILED_TRY: TryResult = {
  outcome: "broken",
  answeredId: "",
  isWhole: false,
  tokens: [],
  retryAfterMs: DEFAULT_RETRY_MS,
};

/** Merchants and head office: each request is asked until it is answered. */
class CallerProcess {
  readonly #settings: CallerSettings;
  readonly #ledger: ledgers.LedgerWriter;
  readonly #book: addressBooks.AddressBook;
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;
  #count = 0;
  #isStopped = false;

  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#ledger = new ledgers.LedgerWriter(settings.ledgerFile);
    this.#book = new addressBooks.AddressBook(settings.seeds, settings.seed);
    this.#random = generator.xoroshiro128plus(settings.seed);
  }

  /** Sends nothing more; what is under way is still awaited. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends on a fixed schedule, then waits for the last answers. */
  async run(): Promise<void> {
    const { requestsPerSecond, runMs } = this.#settings;
    const startMs = Date.now();
    const running: Promise<void>[] = [];
    const total = Math.floor(requestsPerSecond * runMs / 1_000);
    for (let index = 0; index < total && !this.#isStopped; index += 1) {
      const dueMs = startMs + index * 1_000 / requestsPerSecond;
      await sleeps.sleep(Math.max(0, dueMs - Date.now()));
      running.push(this.#runCall(this.#draw()));
    }
    await Promise.all(running);
  }

  #draw(): Call {
    const { name, syncShare, completionShare } = this.#settings;
    const drawn = distribution.uniformFloat64(this.#random);
    this.#count += 1;
    const callId = `${name}-${this.#count}`;
    const prompt = `question of a merchant ${callId}`;
    if (drawn < syncShare) return { operation: "sync", callId, prompt };
    if (drawn < syncShare + completionShare) {
      return { operation: "completion", callId, prompt };
    }
    return { operation: "lookup", callId, prompt };
  }

  async #runCall(call: Call): Promise<void> {
    const endMs = Date.now() + CALL_DEADLINE_MS;
    const tries: ledgers.CallTry[] = [];
    let last = FAILED_TRY;
    while (Date.now() < endMs) {
      const known = await this.#book.pick();
      const sentMs = Date.now();
      last = await this.#try(call, known);
      tries.push({
        box: known.box,
        sentMs,
        endedMs: Date.now(),
        outcome: last.outcome,
      });
      if (last.outcome === "answered" || last.outcome === "refused") break;
      if (last.outcome === "unknown" && call.operation === "sync") break;
      if (last.outcome !== "notRun") this.#book.avoid(known.box);
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

  #try(call: Call, known: addressBooks.KnownAddress): Promise<TryResult> {
    switch (call.operation) {
      case "lookup":
        return this.#send(call, known, {
          method: "GET",
          path:
            `/services/${this.#settings.service}/stock?callId=${call.callId}`,
        });
      case "sync":
        return this.#send(call, known, {
          method: "POST",
          path: `/services/${this.#settings.service}/ledger-sync`,
          json: { callId: call.callId },
          headers: { "idempotency-key": call.callId },
        });
      case "completion":
        return this.#stream(call, known);
    }
  }

  async #send(
    call: Call,
    known: addressBooks.KnownAddress,
    request: Pick<
      httpClient.JsonRequest,
      "method" | "path" | "json" | "headers"
    >,
  ): Promise<TryResult> {
    const answer = await httpClient.sendJson({
      ...request,
      baseUrl: `http://${known.address}:${known.port}`,
      headers: {
        authorization: `Bearer ${this.#settings.token}`,
        ...request.headers,
      },
      timeoutMs: TRY_TIMEOUT_MS,
    });
    if (answer.kind === "failure") {
      return {
        ...FAILED_TRY,
        outcome: answer.failure.outcome === "notRun" ? "notSent" : "broken",
      };
    }
    if (answer.value.status === 200) return readAnswer(answer.value.json);
    return readRefusal(answer.value.json, call);
  }

  /** Callers read the same event format that engines write. */
  async #stream(
    call: Call,
    known: addressBooks.KnownAddress,
  ): Promise<TryResult> {
    const { token, model, maxTokens } = this.#settings;
    const tokens: number[] = [];
    let answer: TryResult = FAILED_TRY;
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
        address: known.address,
        port: known.port,
        method: "POST",
        path: "/v1/completions",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${token}`,
        },
        body,
        timeoutMs: TRY_TIMEOUT_MS,
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
              ...FAILED_TRY,
              outcome: reader.isEnded() ? "answered" : "broken",
              answeredId: call.callId,
              isWhole: reader.isEnded(),
              tokens,
            }
            : readRefusal(JSON.parse(refusal), call);
          resolve();
        },
        onFail({ isSent }) {
          answer = { ...FAILED_TRY, outcome: isSent ? "broken" : "notSent" };
          resolve();
        },
      });
    });
    return answer;
  }
}

function readAnswer(json: unknown): TryResult {
  const { callId, text, checksum } = json as {
    readonly callId: string;
    readonly text: string;
    readonly checksum: number;
  };
  const isWhole = zlib.crc32(text) === checksum &&
    text.startsWith(`${callId} `);
  return { ...FAILED_TRY, outcome: "answered", answeredId: callId, isWhole };
}

function readRefusal(json: unknown, call: Call): TryResult {
  const { error } = json as {
    readonly error: {
      readonly outcome: string;
      readonly retryAfterMs?: number;
    };
  };
  const retryAfterMs = error.retryAfterMs;
  if (error.outcome === "notRun" && retryAfterMs === undefined) {
    return { ...FAILED_TRY, outcome: "refused" };
  }
  const outcome = error.outcome === "notRun" ? "notRun" : "unknown";
  const isFinal = outcome === "unknown" && call.operation === "sync";
  return {
    ...FAILED_TRY,
    outcome,
    retryAfterMs: isFinal ? 0 : retryAfterMs ?? DEFAULT_RETRY_MS,
  };
}

const callers = new CallerProcess(
  JSON.parse(process.argv[2] ?? "{}") as CallerSettings,
);
process.once("SIGTERM", () => callers.stop());
await callers.run();
