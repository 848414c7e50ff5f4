/** Slots needed at a monotonic time, in ms. */
interface DemandPoint {
  readonly atMs: number;
  readonly slots: number;
}

/**
 * Peak demand for slots within a sliding time window. Steps recur at intervals,
 * so the peak of the last ones predicts the demand of the next.
 */
export class DemandWindow {
  readonly #windowMs: number;
  #points: readonly DemandPoint[] = [];

  /** @param windowMs Length of the window, in ms. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records the number of slots needed now. */
  record(nowMs: number, slots: number): void {
    const sinceMs = nowMs - this.#windowMs;
    // A point can never be the peak again once a later one is at least as high.
    const kept = this.#points.filter((point) =>
      point.atMs > sinceMs && point.slots > slots
    );
    this.#points = [...kept, { atMs: nowMs, slots }];
  }

  /** Highest number recorded within the window; 0 without one. */
  getPeak(): number {
    return Math.max(0, ...this.#points.map((point) => point.slots));
  }
}
