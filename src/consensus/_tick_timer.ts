import type * as clocks from "../clock/mod.ts";

/** Shortest time between two ticks, in ms. */
const MIN_TICK_MS = 10;

/**
 * Ticks when something is due. Events that put the due time off leave the
 * timer as it is; after its tick it is set anew.
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

  /** Ticks at a monotonic time, in ms, or earlier if it was set so. */
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
