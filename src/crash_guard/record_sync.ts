import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";

/**
 * Time after the start in which a box waits for the records, in ms. Work is run
 * without them afterwards, as when all store boxes are lost.
 */
const START_TIMEOUT_MS = 2_000;

/**
 * Tells whether a box that started has learned the crash records that the store
 * boxes keep. Until then it can't tell work that crashed servers before, as after
 * a restart of all boxes.
 */
export class RecordSync {
  readonly #clock: clocks.Clock;
  readonly #endsAtMs: number;
  readonly #completed = new csp.Signal();
  #isComplete = false;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
    this.#endsAtMs = clock.getMonotonicMs() + START_TIMEOUT_MS;
  }

  /** Notes that the box holds the records of a store box. */
  complete(): void {
    if (this.#isComplete) return;
    this.#isComplete = true;
    this.#completed.notify();
  }

  /** Whether the box holds the records of a store box. */
  isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether work must wait for the records. */
  isAwaited(): boolean {
    return !this.#isComplete && this.#clock.getMonotonicMs() < this.#endsAtMs;
  }

  /** Waits for the records, at most until the time to wait for them is over. */
  async awaitRecords(): Promise<void> {
    const remainingMs = this.#endsAtMs - this.#clock.getMonotonicMs();
    if (!this.isAwaited()) return;
    await this.#completed.wait(this.#clock, remainingMs);
  }
}
