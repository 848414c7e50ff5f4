/**
 * Time in which what was seen loses most of its weight, in ms. Long enough to
 * see some answers at ten a second, short enough to follow within two seconds
 * when a third of the servers is lost or comes back.
 */
const MEMORY_MS = 1_000;
/** Places seen to come free below which the rate says nothing. */
const MIN_EVIDENCE = 1.5;

/** How often a place at the servers of a service comes free. */
export class PlaceRate {
  #weight = 0;
  #atMs = 0;

  /** Notes that a place came free. */
  note(nowMs: number): void {
    this.#weight = this.#getWeight(nowMs) + 1;
    this.#atMs = nowMs;
  }

  /** Mean time between two places, in ms; undefined where too few were seen. */
  getIntervalMs(nowMs: number): number | undefined {
    const weight = this.#getWeight(nowMs);
    return weight < MIN_EVIDENCE ? undefined : MEMORY_MS / weight;
  }

  #getWeight(nowMs: number): number {
    return this.#weight * Math.exp((this.#atMs - nowMs) / MEMORY_MS);
  }
}
