import * as z from "zod";

import * as clocks from "../clock/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

const scoreSchema = z.object({ score: z.number() });

const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 5;

/** Options of a {@link ScorerClient}. */
export interface ScorerOptions {
  /** Base URL of the scoring service. */
  readonly url: string;
  /** Timeout of each attempt, in ms. */
  readonly timeoutMs: number;
  /** Maximum number of concurrent requests; others are queued. */
  readonly maxInFlight: number;
  readonly clock: clocks.Clock;
}

/** Client of the scoring service: `POST /v1/score`. */
export class ScorerClient {
  readonly #options: ScorerOptions;
  #inFlight = 0;
  #waiters: readonly (() => void)[] = [];

  constructor(options: ScorerOptions) {
    this.#options = options;
  }

  /**
   * Scores one sample. Failed attempts are retried with increasing delays,
   * since scoring is idempotent.
   *
   * @param prompt The prompt.
   * @param tokens The sample's tokens.
   * @returns The score, or the failure of the last attempt.
   */
  async score(
    prompt: string,
    tokens: readonly number[],
  ): Promise<results.Result<number>> {
    await this.#acquireSlot();
    try {
      return await this.#scoreWithRetries(prompt, tokens);
    } finally {
      this.#releaseSlot();
    }
  }

  async #scoreWithRetries(
    prompt: string,
    tokens: readonly number[],
  ): Promise<results.Result<number>> {
    let lastResult: results.Result<number> = results.createFailure(
      "backendFailed",
      "Cannot score: no try was made",
    );
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (attempt > 0) {
        await clocks.sleep(this.#options.clock, RETRY_DELAY_MS * attempt);
      }
      lastResult = await this.#sendOnce(prompt, tokens);
      if (lastResult.kind === "ok") return lastResult;
    }
    return lastResult;
  }

  async #sendOnce(
    prompt: string,
    tokens: readonly number[],
  ): Promise<results.Result<number>> {
    const answer = await httpClient.sendJson({
      baseUrl: this.#options.url,
      path: "/v1/score",
      method: "POST",
      json: { prompt, tokens },
      timeoutMs: this.#options.timeoutMs,
    });
    if (answer.kind === "failure") return answer;
    const parsed = scoreSchema.safeParse(answer.value.json);
    if (answer.value.status === 200 && parsed.success) {
      return results.createOk(parsed.data.score);
    }
    return results.createFailure(
      "backendFailed",
      `Cannot score: the scorer answered ${answer.value.status}`,
    );
  }

  /** Resolves once fewer than `maxInFlight` requests are running. */
  #acquireSlot(): Promise<void> {
    if (this.#inFlight < this.#options.maxInFlight) {
      this.#inFlight += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#waiters = [...this.#waiters, resolve];
    });
  }

  /** Passes the slot to the first waiter, if there is one. */
  #releaseSlot(): void {
    const [next, ...rest] = this.#waiters;
    if (next === undefined) {
      this.#inFlight -= 1;
      return;
    }
    this.#waiters = rest;
    next();
  }
}
