import type * as clocks from "../clock/mod.ts";

/** Step of the time of day from which it is not followed at once, in ms. */
const STEP_MS = 1_000;
/** Time for which a stepped time of day must stay before it is followed, in ms. */
const SETTLED_MS = 30_000;

/**
 * The time of day, not following a step of the clock before it has stayed. A leader
 * whose clock was 300 s ahead for 8 s had 58 windows agreed on as empty, and what
 * was counted in them later was never reported.
 */
export class SteadyTime {
  readonly #clock: clocks.Clock;
  /** Time of day less monotonic time that is followed, in ms. */
  #offsetMs: number | undefined;
  #stepped: { readonly offsetMs: number; readonly sinceMs: number } | undefined;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** The time of day, in Unix ms. */
  getWallMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    const offsetMs = this.#clock.getWallMs() - nowMs;
    const followedMs = this.#followOffset(offsetMs, nowMs);
    this.#offsetMs = followedMs;
    return nowMs + followedMs;
  }

  #followOffset(offsetMs: number, nowMs: number): number {
    const followedMs = this.#offsetMs ?? offsetMs;
    if (Math.abs(offsetMs - followedMs) <= STEP_MS) {
      this.#stepped = undefined;
      return offsetMs;
    }
    const before = this.#stepped;
    const isSame = before !== undefined &&
      Math.abs(offsetMs - before.offsetMs) <= STEP_MS;
    const sinceMs = isSame ? before.sinceMs : nowMs;
    this.#stepped = { offsetMs, sinceMs };
    if (nowMs - sinceMs < SETTLED_MS) return followedMs;
    this.#stepped = undefined;
    return offsetMs;
  }
}
