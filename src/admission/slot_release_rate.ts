/** Time constant of the exponential decay of past releases, in ms. */
const DECAY_MS = 1_000;
/** Decayed number of releases below which the rate is unknown. */
const MIN_WEIGHT = 1.5;

/** Exponentially decayed rate at which slots of a service's servers are freed. */
export class SlotReleaseRate {
  #weight = 0;
  #updatedAtMs = 0;

  /** Records one freed slot at a monotonic time, in ms. */
  record(nowMs: number): void {
    this.#weight = this.#computeWeight(nowMs) + 1;
    this.#updatedAtMs = nowMs;
  }

  /** Returns the mean time between releases, in ms; undefined if too few. */
  getIntervalMs(nowMs: number): number | undefined {
    const weight = this.#computeWeight(nowMs);
    return weight < MIN_WEIGHT ? undefined : DECAY_MS / weight;
  }

  #computeWeight(nowMs: number): number {
    return this.#weight * Math.exp((this.#updatedAtMs - nowMs) / DECAY_MS);
  }
}
