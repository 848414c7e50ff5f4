/** Shortest time after which a refused caller comes back, in ms. */
const MIN_RETRY_MS = 100;
/**
 * Longest such time, in ms; callers heed no more than a third of what they have
 * left, which is seldom more than some seconds.
 */
const MAX_RETRY_MS = 1_000;
/** Time between two returns where no place was seen to come free, in ms. */
const DEFAULT_INTERVAL_MS = 20;

/**
 * Tells refused callers when to come back: one after the other, as places come
 * free, so that those who were refused together do not return together and are
 * refused again.
 */
export class RetrySchedule {
  #lastRetryAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Gives a refused caller its time.
   *
   * @param nowMs Monotonic time, in ms.
   * @param intervalMs Mean time between two places, where it is known.
   * @returns The time after which it should come back, in ms.
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
