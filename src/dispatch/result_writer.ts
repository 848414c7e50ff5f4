import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";

/** Time for which results are gathered into one entry, in ms. */
const BATCH_DELAY_MS = 10;
/** Longest wait for a commit before the results are proposed again, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;

/** What a result writer needs. */
export interface ResultWriterOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly group: replicaGroups.ReplicaGroup;
}

/** A result that waits to be listed. */
interface PendingResult {
  readonly delta: submissions.RecordedResult;
  readonly full: submissions.RecordedResult;
}

function toFull({ full: full }: PendingResult): PendingResult {
  return { delta: full, full: full };
}

/** Has results listed, several in one entry, again until they surely are. */
export class ResultWriter {
  readonly #options: ResultWriterOptions;
  #pending: readonly PendingResult[] = [];
  /** Counts drops; what was under way before one is not proposed again. */
  #discardCount = 0;
  readonly #flushTimer: clocks.GatheredCall;

  constructor(options: ResultWriterOptions) {
    this.#options = options;
    this.#flushTimer = new clocks.GatheredCall({
      clock: options.clock,
      delayMs: BATCH_DELAY_MS,
      action: () => void this.#flush(),
    });
  }

  /**
   * Adds a result to be listed.
   *
   * @param delta The result, with the text that follows the kept part.
   * @param full The same with its whole text, should the kept part be missing.
   */
  add(
    delta: submissions.RecordedResult,
    full: submissions.RecordedResult,
  ): void {
    this.#pending = [...this.#pending, { delta: delta, full: full }];
    this.#flushTimer.schedule();
  }

  /** Forgets what waits; the next leader runs those items anew. */
  discardPending(): void {
    this.#pending = [];
    this.#discardCount += 1;
  }

  async #flush(): Promise<void> {
    const { group, log } = this.#options;
    const batch = this.#pending;
    const discardCount = this.#discardCount;
    this.#pending = [];
    if (batch.length === 0) return;
    const command: submissions.SubmissionCommand = {
      kind: "recordResults",
      results: batch.map((result) => result.delta),
    };
    const outcome = await group.propose<submissions.SubmissionAnswer>(
      command,
      COMMIT_TIMEOUT_MS,
    );
    if (outcome.kind === "ok" && outcome.value.isKnown) return;
    log.write("warn", "results.notListed", {
      count: batch.length,
      message: outcome.kind === "ok"
        ? "a kept part is missing"
        : outcome.failure.message,
    });
    if (discardCount !== this.#discardCount) return;
    const retried = outcome.kind === "ok" ? batch.map(toFull) : batch;
    this.#pending = [...retried, ...this.#pending];
    this.#flushTimer.schedule();
  }
}
