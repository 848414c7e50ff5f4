import type * as clocks from "./clock.ts";

interface PendingTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** A clock that moves only when told to, for tests. */
export class FakeClock implements clocks.Clock {
  #nowMs: number;
  /** How far the wall clock is ahead of the monotonic one. */
  #wallOffsetMs = 0;
  #sequence = 0;
  #timers: readonly PendingTimer[] = [];

  /** @param startMs First reading of both clocks. */
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
   * Lets time pass while the machine is suspended: the monotonic clock stands,
   * and so do its timers.
   */
  suspend(durationMs: number): void {
    this.#wallOffsetMs += durationMs;
  }

  /** Sets the wall clock by so much. */
  stepWall(offsetMs: number): void {
    this.#wallOffsetMs += offsetMs;
  }

  /** Moves time forward by `byMs`, running due timers in order. */
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
