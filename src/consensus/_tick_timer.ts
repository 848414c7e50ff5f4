import type * as clocks from "../clock/mod.ts";

/** Shortest time between two ticks, in ms. */
const MIN_TICK_MS = 10;

/**
 * Calls back at a due time. A later due time does not postpone a pending tick, which
 * saves restarting the timer; the caller sets it again after each tick.
 */
export class TickTimer {
  readonly #clock: clocks.Clock;
  readonly #onTick: () => void;
  #dueMs = Number.POSITIVE_INFINITY;
  #cancel: clocks.CancelTimer = () => {};

  constructor(clock: clocks.Clock, onTick: () => void) {
    this.#clock = clock;
    this.#onTick = onTick;
  }

  /**
   * Schedules a tick at a monotonic time, in ms, unless an earlier one is
   * pending.
   */
  set(dueMs: number): void {
    if (this.#dueMs <= dueMs) return;
    this.#cancel();
    const delayMs = Math.max(MIN_TICK_MS, dueMs - this.#clock.getMonotonicMs());
    this.#dueMs = dueMs;
    this.#cancel = this.#clock.startTimer(delayMs, () => {
      this.#dueMs = Number.POSITIVE_INFINITY;
      this.#onTick();
    });
  }

  stop(): void {
    this.#cancel();
  }
}
