import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";

/** Time for which results are gathered into one entry, in ms. */
const GATHER_MS = 10;
/** Longest wait for a commit before the results are proposed again, in ms. */
const COMMIT_MS = 2_000;

/** What a result writer needs. */
export interface ResultWriterOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly group: replicaGroups.ReplicaGroup;
}

/** Has results listed, several in one entry, again until they surely are. */
export class ResultWriter {
  readonly #options: ResultWriterOptions;
  #waiting: readonly submissions.RecordedResult[] = [];
  #isDue = false;

  constructor(options: ResultWriterOptions) {
    this.#options = options;
  }

  /** Adds a result to be listed. */
  add(result: submissions.RecordedResult): void {
    this.#waiting = [...this.#waiting, result];
    this.#scheduleFlush();
  }

  /** Forgets what waits; the next leader runs those items anew. */
  drop(): void {
    this.#waiting = [];
  }

  #scheduleFlush(): void {
    if (this.#isDue) return;
    this.#isDue = true;
    this.#options.clock.startTimer(GATHER_MS, () => {
      this.#isDue = false;
      void this.#flush();
    });
  }

  async #flush(): Promise<void> {
    const { group, log } = this.#options;
    const results = this.#waiting;
    this.#waiting = [];
    if (results.length === 0) return;
    const command: submissions.SubmissionCommand = {
      kind: "recordResults",
      results,
    };
    const listed = await group.propose<submissions.SubmissionAnswer>(
      command,
      COMMIT_MS,
    );
    if (listed.kind === "ok") return;
    log.write("warn", "results.notListed", {
      count: results.length,
      message: listed.failure.message,
    });
    if (!group.hasAuthority()) return;
    this.#waiting = [...results, ...this.#waiting];
    this.#scheduleFlush();
  }
}
