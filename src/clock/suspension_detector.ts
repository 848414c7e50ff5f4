import type * as clocks from "./clock.ts";

/**
 * How much further the time of day may have come than the monotonic clock, in ms,
 * without a sign that the machine was suspended: both are read one after the other.
 */
const DRIFT_TOLERANCE_MS = 50;
/** How fast a time of day that is being corrected may gain on it, as a share. */
const MAX_SLEW_RATIO = 0.001;

/**
 * Finds out whether the machine may have been suspended: its monotonic clock
 * stands meanwhile, and its time of day goes on. A time of day that was set
 * forward looks the same, so this serves to end what this process promised to
 * others, and never to take what others promised for ended.
 */
export class SuspensionDetector {
  readonly #clock: Pick<clocks.Clock, "getWallMs" | "getMonotonicMs">;
  /** Time of day less monotonic time, as far as it was followed, in ms. */
  #offsetMs: number;
  #checkedAtMs: number;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Pick<clocks.Clock, "getWallMs" | "getMonotonicMs">) {
    this.#clock = clock;
    this.#checkedAtMs = clock.getMonotonicMs();
    this.#offsetMs = clock.getWallMs() - this.#checkedAtMs;
  }

  /**
   * Looks at both clocks.
   *
   * @returns Monotonic ms before which the machine may have been suspended; what
   * was timed before may be older than it seems. Negative infinity for never.
   */
  getResumedAtMs(): number {
    // A process that gets no processor between two readings must not be taken for
    // one whose machine was suspended: both orders of reading have to agree.
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
