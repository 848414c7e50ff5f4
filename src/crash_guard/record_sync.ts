import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as logs from "../log/mod.ts";

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
  readonly #log: Pick<logs.Log, "write">;
  readonly #startedAtMs: number;
  readonly #completed = new csp.Signal();
  #isComplete = false;

  constructor(clock: clocks.Clock, log: Pick<logs.Log, "write">) {
    this.#clock = clock;
    this.#log = log;
    this.#startedAtMs = clock.getMonotonicMs();
  }

  /** Notes that the box holds the records of a store box. */
  complete(): void {
    if (this.#isComplete) return;
    this.#isComplete = true;
    this.#log.write("info", "crash.recordsKnown", {
      afterMs: Math.round(this.#clock.getMonotonicMs() - this.#startedAtMs),
      wasAwaited: this.#getRemainingMs() > 0,
    });
    this.#completed.notify();
  }

  /** Whether the box holds the records of a store box. */
  isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether work must wait for the records. */
  isAwaited(): boolean {
    return !this.#isComplete && this.#getRemainingMs() > 0;
  }

  /** Waits for the records, at most until the time to wait for them is over. */
  async awaitRecords(): Promise<void> {
    if (!this.isAwaited()) return;
    await this.#completed.wait(this.#clock, this.#getRemainingMs());
  }

  #getRemainingMs(): number {
    const endsAtMs = this.#startedAtMs + START_TIMEOUT_MS;
    return endsAtMs - this.#clock.getMonotonicMs();
  }
}
