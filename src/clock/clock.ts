/** Cancels a timer. Further calls have no effect. */
export type CancelTimer = () => void;

/** Provides time in milliseconds; tests replace it with a fake. */
export interface Clock {
  /** Returns the wall-clock time in ms since the epoch, for timestamps. */
  getWallMs(): number;
  /** Returns the monotonic time in ms, for leases, deadlines and durations. */
  getMonotonicMs(): number;
  /** Runs `action` once after `delayMs`; the result cancels the timer. */
  startTimer(delayMs: number, action: () => void): CancelTimer;
}
