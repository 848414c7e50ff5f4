import type * as clocks from "./clock.ts";

/**
 * Largest advance of the wall clock over the monotonic clock that does not count
 * as a suspension, in ms: the clocks can't be read at the same instant.
 */
const DRIFT_TOLERANCE_MS = 50;
/** Largest rate at which slewing (as by NTP) advances the wall clock. */
const MAX_SLEW_RATIO = 0.001;

/**
 * Detects that the box may have been suspended: the wall clock then advances
 * while the monotonic clock stops. A wall clock that is set forward looks the
 * same. A detected suspension may therefore invalidate promises that this
 * process made, but must not be used to treat promises of others as expired.
 */
export class SuspensionDetector {
  readonly #clock: Pick<clocks.Clock, "getWallMs" | "getMonotonicMs">;
  /** Expected wall-clock time minus monotonic time, in ms. */
  #offsetMs: number;
  #checkedAtMs: number;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Pick<clocks.Clock, "getWallMs" | "getMonotonicMs">) {
    this.#clock = clock;
    this.#checkedAtMs = clock.getMonotonicMs();
    this.#offsetMs = clock.getWallMs() - this.#checkedAtMs;
  }

  /**
   * Compares both clocks and returns the last detected end of a suspension.
   *
   * @returns Monotonic time of the check that detected it, in ms; durations that
   * began earlier may be underestimated. Negative infinity if none was detected.
   */
  getResumedAtMs(): number {
    // The process may be descheduled between two readings. Reading the monotonic
    // clock before and after the wall clock bounds the drift from both sides.
    const beforeMs = this.#clock.getMonotonicMs();
    const wallMs = this.#clock.getWallMs();
    const nowMs = this.#clock.getMonotonicMs();
    const minDriftMs = wallMs - nowMs - this.#offsetMs;
    const maxDriftMs = wallMs - beforeMs - this.#offsetMs;
    const maxSlewMs = (nowMs - this.#checkedAtMs) * MAX_SLEW_RATIO;
    this.#checkedAtMs = nowMs;
    if (minDriftMs > DRIFT_TOLERANCE_MS) {
      this.#resumedAtMs = nowMs;
      this.#offsetMs += minDriftMs;
    } else if (maxDriftMs < 0) this.#offsetMs += maxDriftMs;
    else this.#offsetMs += Math.max(0, Math.min(minDriftMs, maxSlewMs));
    return this.#resumedAtMs;
  }
}
