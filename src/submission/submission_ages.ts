import type * as clocks from "../clock/mod.ts";
import type * as stateMachines from "./submission_state_machine.ts";

/** Tracks the time since this process first observed each submission. */
export class SubmissionAges {
  readonly #clock: clocks.Clock;
  #knownSinceMs: ReadonlyMap<string, number> = new Map();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Starts to track new submissions and forgets removed ones. */
  observe(records: readonly stateMachines.SubmissionRecord[]): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#knownSinceMs = new Map(
      records.map(({ submission: { id } }) =>
        [id, this.#knownSinceMs.get(id) ?? nowMs] as const
      ),
    );
  }

  /** Gets the monotonic age of a submission, in ms; 0 if unknown. */
  getAgeMs(id: string): number {
    const sinceMs = this.#knownSinceMs.get(id);
    return sinceMs === undefined ? 0 : this.#clock.getMonotonicMs() - sinceMs;
  }
}
