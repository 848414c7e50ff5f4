/** Stops a timer; calling it twice is harmless. */
export type CancelTimer = () => void;

/** The only source of time for decisions and drivers, in milliseconds. */
export interface Clock {
  /** Wall time in ms since the epoch, for records that people read. */
  getWallMs(): number;
  /** Monotonic time in ms, for leases, deadlines and durations. */
  getMonotonicMs(): number;
  /** Runs `action` once after `delayMs`. */
  startTimer(delayMs: number, action: () => void): CancelTimer;
}
