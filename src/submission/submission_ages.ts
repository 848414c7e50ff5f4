import type * as clocks from "../clock/mod.ts";
import type * as stateMachines from "./submission_state_machine.ts";

/** How long this process has known each submission, whatever the time of day. */
export class SubmissionAges {
  readonly #clock: clocks.Clock;
  #knownSinceMs: ReadonlyMap<string, number> = new Map();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Notes submissions that are new, and drops those that are gone. */
  observe(records: readonly stateMachines.SubmissionRecord[]): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#knownSinceMs = new Map(
      records.map(({ submission: { id } }) =>
        [id, this.#knownSinceMs.get(id) ?? nowMs] as const
      ),
    );
  }

  /** Time since a submission was observed first, in ms; 0 for an unknown one. */
  getAgeMs(id: string): number {
    const sinceMs = this.#knownSinceMs.get(id);
    return sinceMs === undefined ? 0 : this.#clock.getMonotonicMs() - sinceMs;
  }
}
