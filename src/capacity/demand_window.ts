/** A number of places that were needed, and when. */
interface DemandPoint {
  readonly atMs: number;
  readonly slots: number;
}

/**
 * Most places that were needed lately. Steps come in a rhythm, so the
 * peaks of the last rounds tell what the next one needs.
 */
export class DemandWindow {
  readonly #windowMs: number;
  #points: readonly DemandPoint[] = [];

  /** @param windowMs How long a peak counts, in ms. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Notes how many places are needed now. */
  record(nowMs: number, slots: number): void {
    const sinceMs = nowMs - this.#windowMs;
    // What a newer and higher number outlives needs no keeping.
    const kept = this.#points.filter((point) =>
      point.atMs > sinceMs && point.slots > slots
    );
    this.#points = [...kept, { atMs: nowMs, slots: slots }];
  }

  getPeak(): number {
    return Math.max(0, ...this.#points.map((point) => point.slots));
  }
}
