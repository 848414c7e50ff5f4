/** Shortest retry delay, in ms. */
const MIN_RETRY_MS = 100;
/**
 * Longest retry delay, in ms. Callers honour at most a third of their remaining
 * time, which is seldom more than some seconds.
 */
const MAX_RETRY_MS = 1_000;
/** Time between two retries while the slot release rate is unknown, in ms. */
const DEFAULT_INTERVAL_MS = 20;

/**
 * Assigns retry delays to refused callers. Retries are spaced by the rate at
 * which slots are freed, so that callers refused together don't retry together.
 */
export class RetrySchedule {
  #lastRetryAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Assigns a retry delay to a refused caller.
   *
   * @param nowMs Monotonic time, in ms.
   * @param intervalMs Mean time between two freed slots, in ms, if known.
   * @returns Delay after which the caller should retry, in ms.
   */
  assign(nowMs: number, intervalMs = DEFAULT_INTERVAL_MS): number {
    const earliestMs = Math.max(
      nowMs + MIN_RETRY_MS,
      this.#lastRetryAtMs + intervalMs,
    );
    const atMs = Math.min(earliestMs, nowMs + MAX_RETRY_MS);
    this.#lastRetryAtMs = atMs;
    return Math.round(atMs - nowMs);
  }
}
