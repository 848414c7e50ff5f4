import type * as clocks from "./clock.ts";

interface PendingTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** A clock for tests that advances only when a method is called. */
export class FakeClock implements clocks.Clock {
  #nowMs: number;
  /** Wall-clock time minus monotonic time, in ms. */
  #wallOffsetMs = 0;
  #sequence = 0;
  #timers: readonly PendingTimer[] = [];

  /** @param startMs Initial time of both clocks, in ms. */
  constructor(startMs = 0) {
    this.#nowMs = startMs;
  }

  getWallMs(): number {
    return this.#nowMs + this.#wallOffsetMs;
  }

  getMonotonicMs(): number {
    return this.#nowMs;
  }

  startTimer(delayMs: number, action: () => void): clocks.CancelTimer {
    this.#sequence += 1;
    const timer = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence,
      action,
    };
    this.#timers = [...this.#timers, timer];
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /**
   * Simulates a suspended box: advances only the wall clock, while the monotonic
   * clock and its timers stop.
   */
  suspend(durationMs: number): void {
    this.#wallOffsetMs += durationMs;
  }

  /** Adjusts the wall clock by `offsetMs`, which may be negative. */
  stepWall(offsetMs: number): void {
    this.#wallOffsetMs += offsetMs;
  }

  /** Advances both clocks by `durationMs`, running due timers in order. */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    for (;;) {
      const next = this.#findNextDueTimer(endMs);
      if (next === undefined) break;
      this.#timers = this.#timers.filter((other) => other !== next);
      this.#nowMs = next.dueMs;
      next.action();
    }
    this.#nowMs = endMs;
  }

  #findNextDueTimer(endMs: number): PendingTimer | undefined {
    return this.#timers
      .filter((timer) => timer.dueMs <= endMs)
      .sort((a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence)[0];
  }
}
