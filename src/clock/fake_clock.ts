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
  #wallAheadMs = 0;
  #sequence = 0;
  #timers: readonly PendingTimer[] = [];

  /** @param startMs First reading of both clocks. */
  constructor(startMs = 0) {
    this.#nowMs = startMs;
  }

  getWallMs(): number {
    return this.#nowMs + this.#wallAheadMs;
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
  suspend(forMs: number): void {
    this.#wallAheadMs += forMs;
  }

  /** Sets the wall clock by so much. */
  stepWall(byMs: number): void {
    this.#wallAheadMs += byMs;
  }

  /** Moves time forward by `byMs`, running due timers in order. */
  extendBy(byMs: number): void {
    const endMs = this.#nowMs + byMs;
    for (;;) {
      const next = this.#findNext(endMs);
      if (next === undefined) break;
      this.#timers = this.#timers.filter((other) => other !== next);
      this.#nowMs = next.dueMs;
      next.action();
    }
    this.#nowMs = endMs;
  }

  #findNext(endMs: number): PendingTimer | undefined {
    return this.#timers
      .filter((timer) => timer.dueMs <= endMs)
      .sort((a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence)[0];
  }
}
