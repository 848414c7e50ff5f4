import type * as clocks from "../clock/mod.ts";

/** Larger steps of the wall clock are not adopted at once, in ms. */
const STEP_THRESHOLD_MS = 1_000;
/** Time for which a step must persist before it is adopted, in ms. */
const STEP_CONFIRMATION_MS = 30_000;

/**
 * Wall clock that ignores steps until they have persisted for a while. Otherwise a
 * leader whose clock is ahead for some seconds closes windows that have not begun,
 * and what is counted in them later is never reported. Steps are noticed only when
 * the clock is read, so it must be read regularly.
 */
export class StepFilteredClock {
  readonly #clock: clocks.Clock;
  /** Adopted difference between wall and monotonic time, in ms. */
  #offsetMs: number | undefined;
  /** Offset of a step that is not adopted yet, and when it was first seen. */
  #pendingStep:
    | { readonly offsetMs: number; readonly sinceMs: number }
    | undefined;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Returns the filtered wall-clock time, in Unix ms. */
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
