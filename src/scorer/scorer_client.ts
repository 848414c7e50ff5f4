import * as z from "zod";

import * as clocks from "../clock/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

const scoreSchema = z.object({ score: z.number() });

const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 5;

/** What a scorer needs. */
export interface ScorerOptions {
  readonly url: string;
  readonly timeoutMs: number;
  readonly maxInFlight: number;
  readonly clock: clocks.Clock;
}

/** Asks the scoring service for scores: `POST /v1/score`. */
export class ScorerClient {
  readonly #options: ScorerOptions;
  #inFlight = 0;
  #waiters: readonly (() => void)[] = [];

  constructor(options: ScorerOptions) {
    this.#options = options;
  }

  /**
   * Scores one sample; it is tried again on failure, since scoring is
   * repeatable.
   *
   * @param prompt The prompt.
   * @param tokens The sample's tokens.
   * @returns The score, or the last failure.
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

  #acquireSlot(): Promise<void> {
    if (this.#inFlight < this.#options.maxInFlight) {
      this.#inFlight += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#waiters = [...this.#waiters, resolve];
    });
  }

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
