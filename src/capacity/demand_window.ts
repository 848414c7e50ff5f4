/** A number of runs that wanted a place, and when. */
interface Sample {
  readonly atMs: number;
  readonly runs: number;
}

/**
 * Most runs that wanted a place at once lately. Steps come in a rhythm, so the
 * peaks of the last rounds tell what the next one needs.
 */
export class DemandWindow {
  readonly #keepMs: number;
  #samples: readonly Sample[] = [];

  /** @param keepMs How long a peak counts, in ms. */
  constructor(keepMs: number) {
    this.#keepMs = keepMs;
  }

  /** Notes how many runs want a place now. */
  note(nowMs: number, runs: number): void {
    const sinceMs = nowMs - this.#keepMs;
    // What a newer and higher number outlives needs no keeping.
    const kept = this.#samples.filter((sample) =>
      sample.atMs > sinceMs && sample.runs > runs
    );
    this.#samples = [...kept, { atMs: nowMs, runs }];
  }

  getPeak(): number {
    return Math.max(0, ...this.#samples.map((sample) => sample.runs));
  }
}
