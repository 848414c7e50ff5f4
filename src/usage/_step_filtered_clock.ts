import type * as clocks from "../clock/mod.ts";

/** Step of the time of day from which it is not followed at once, in ms. */
const STEP_THRESHOLD_MS = 1_000;
/** Time for which a stepped time of day must stay before it is followed, in ms. */
const STEP_CONFIRMATION_MS = 30_000;

/**
 * The time of day, not following a step of the clock before it has stayed. A leader
 * whose clock was 300 s ahead for 8 s had 58 windows agreed on as empty, and what
 * was counted in them later was never reported.
 */
export class StepFilteredClock {
  readonly #clock: clocks.Clock;
  /** Time of day less monotonic time that is followed, in ms. */
  #offsetMs: number | undefined;
  #pendingStep:
    | { readonly offsetMs: number; readonly sinceMs: number }
    | undefined;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** The time of day, in Unix ms. */
  getWallMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    const offsetMs = this.#clock.getWallMs() - nowMs;
    const acceptedMs = this.#selectOffset(offsetMs, nowMs);
    this.#offsetMs = acceptedMs;
    return nowMs + acceptedMs;
  }

  #selectOffset(offsetMs: number, nowMs: number): number {
    const acceptedMs = this.#offsetMs ?? offsetMs;
    if (Math.abs(offsetMs - acceptedMs) <= STEP_THRESHOLD_MS) {
      this.#pendingStep = undefined;
      return offsetMs;
    }
    const pending = this.#pendingStep;
    const isSameStep = pending !== undefined &&
      Math.abs(offsetMs - pending.offsetMs) <= STEP_THRESHOLD_MS;
    const sinceMs = isSameStep ? pending.sinceMs : nowMs;
    this.#pendingStep = { offsetMs, sinceMs };
    if (nowMs - sinceMs < STEP_CONFIRMATION_MS) return acceptedMs;
    this.#pendingStep = undefined;
    return offsetMs;
  }
}
