import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";

/** Time for which results are batched into one log entry, in ms. */
const BATCH_DELAY_MS = 10;
/** Timeout of a commit before the results are proposed again, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;

/** Options of a result writer. */
export interface ResultWriterOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly group: replicaGroups.ReplicaGroup;
}

/** A result that has not been committed yet. */
interface PendingResult {
  /** The result with the text after the stored part. */
  readonly delta: submissions.RecordedResult;
  /** The result with its full text. */
  readonly full: submissions.RecordedResult;
}

function toFull({ full }: PendingResult): PendingResult {
  return { delta: full, full };
}

/** Commits results to the replicated log in batches, with retries. */
export class ResultWriter {
  readonly #options: ResultWriterOptions;
  #pending: readonly PendingResult[] = [];
  /** Number of discards; a batch in flight during one is not retried. */
  #discardCount = 0;
  readonly #flushTimer: clocks.CoalescedCall;

  constructor(options: ResultWriterOptions) {
    this.#options = options;
    this.#flushTimer = new clocks.CoalescedCall({
      clock: options.clock,
      delayMs: BATCH_DELAY_MS,
      action: () => void this.#flush(),
    });
  }

  /**
   * Adds a result to the next batch.
   *
   * @param delta The result with the text after the stored part.
   * @param full The result with its full text, for when the stored part is
   *   missing.
   */
  add(
    delta: submissions.RecordedResult,
    full: submissions.RecordedResult,
  ): void {
    this.#pending = [...this.#pending, { delta, full }];
    this.#flushTimer.schedule();
  }

  /** Discards uncommitted results; the next leader runs their items again. */
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
        ? "the stored part of a text is missing"
        : outcome.failure.message,
    });
    if (discardCount !== this.#discardCount) return;
    const retried = outcome.kind === "ok" ? batch.map(toFull) : batch;
    this.#pending = [...retried, ...this.#pending];
    this.#flushTimer.schedule();
  }
}
