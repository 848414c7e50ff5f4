/**
 * Time in which what was seen loses most of its weight, in ms. Long enough to
 * see some answers at ten a second, short enough to follow within two seconds
 * when a third of the servers is lost or comes back.
 */
const DECAY_MS = 1_000;
/** Places seen to come free below which the rate says nothing. */
const MIN_WEIGHT = 1.5;

/** How often a place at the servers of a service comes free. */
export class SlotReleaseRate {
  #weight = 0;
  #updatedAtMs = 0;

  /** Notes that a place came free. */
  record(nowMs: number): void {
    this.#weight = this.#computeWeight(nowMs) + 1;
    this.#updatedAtMs = nowMs;
  }

  /** Mean time between two places, in ms; undefined where too few were seen. */
  getIntervalMs(nowMs: number): number | undefined {
    const weight = this.#computeWeight(nowMs);
    return weight < MIN_WEIGHT ? undefined : DECAY_MS / weight;
  }

  #computeWeight(nowMs: number): number {
    return this.#weight * Math.exp((this.#updatedAtMs - nowMs) / DECAY_MS);
  }
}
