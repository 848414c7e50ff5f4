import * as clocks from "../clock/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as itemTasks from "./item_task.ts";
import * as resultWriters from "./result_writer.ts";

/** Minimum delay before a scoring call is retried, in ms. */
const SCORING_RETRY_DELAY_MS = 60;
/** Maximum delay before a held-back scoring call is retried, in ms. */
const MAX_SCORING_RETRY_DELAY_MS = 1_000;

/** Options of an item finisher. */
export interface ItemFinisherOptions
  extends itemRuns.ScoringOptions, resultWriters.ResultWriterOptions {
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
}

/** Scores completed texts and records the results of finished items. */
export class ItemFinisher {
  readonly #options: ItemFinisherOptions;
  readonly #writer: resultWriters.ResultWriter;

  constructor(options: ItemFinisherOptions) {
    this.#options = options;
    this.#writer = new resultWriters.ResultWriter(options);
  }

  /** Discards results not yet recorded, as when leadership is lost. */
  discardPending(): void {
    this.#writer.discardPending();
  }

  /**
   * Scores a complete text and records its result. Unanswered calls are retried;
   * the item is given up after too many failed ones.
   *
   * @param first A first call that another box makes, if any.
   */
  async score(
    task: itemTasks.ItemTask,
    first?: Promise<itemRuns.ScoreOutcome>,
  ): Promise<void> {
    if (task.item.scoring === undefined) return this.#complete(task, undefined);
    let calling = first;
    while (task.isActive()) {
      const outcome = await (calling ??
        itemRuns.scoreItem(task, this.#options));
      calling = undefined;
      if (!task.isActive()) return;
      switch (outcome.kind) {
        case "scored":
          return this.#complete(task, outcome.score);
        case "failed":
          if (task.recordScoringFailure(outcome.attempts)) {
            return this.giveUp(task);
          }
          break;
        case "unanswered":
          this.#options.log.write("info", "item.unscored", {
            item: task.item.id,
            reason: outcome.reason,
          });
          break;
      }
      const retryAfterMs = "retryAfterMs" in outcome
        ? outcome.retryAfterMs ?? 0
        : 0;
      const delayMs = Math.min(retryAfterMs, MAX_SCORING_RETRY_DELAY_MS);
      await clocks.sleep(
        this.#options.clock,
        Math.max(SCORING_RETRY_DELAY_MS, delayMs),
      );
    }
  }

  #complete(task: itemTasks.ItemTask, score: string | undefined): void {
    const { progress, item } = task;
    const full: submissions.ItemResult = {
      id: item.id,
      state: "completed",
      text: progress.getText(),
      versions: progress.listVersions(),
      score,
    };
    const delta = { ...full, text: progress.getUnstoredText() };
    this.#recordResult(task, delta, full);
  }

  /** Records an item as given up. */
  giveUp(task: itemTasks.ItemTask): void {
    this.#options.log.write("info", "item.givenUp", {
      item: task.item.id,
      submission: task.submission.id,
    });
    const result: submissions.ItemResult = {
      id: task.item.id,
      state: "givenUp",
      text: "",
      versions: [],
      score: undefined,
    };
    this.#recordResult(task, result, result);
  }

  #recordResult(
    task: itemTasks.ItemTask,
    delta: submissions.ItemResult,
    full: submissions.ItemResult,
  ): void {
    const { metrics, clock } = this.#options;
    const { submission } = task;
    const keptLastId = delta === full
      ? undefined
      : task.progress.getStoredLastId();
    task.times.enter("done", clock.getMonotonicMs());
    const ageMs = clock.getWallMs() - submission.acceptedAtMs;
    metrics.recordItem(ageMs);
    if (task.step.finishItem(task.item.id)) {
      this.#reportCompleteStep(task, ageMs);
    }
    this.#writer.add(
      { submission: submission.id, result: delta, keptLastId },
      { submission: submission.id, result: full },
    );
  }

  /** Logs a completed step and the phase durations of its last item. */
  #reportCompleteStep(task: itemTasks.ItemTask, ageMs: number): void {
    const { submission, item, progress, times } = task;
    this.#options.log.write("info", "step.whole", {
      submission: submission.id,
      model: submission.model,
      step: submission.step,
      ageMs,
      groups: task.step.countCompleteGroups(),
      lastItem: item.id,
      hint: item.lengthHint,
      events: progress.countGeneratedEvents(),
      runs: task.countRuns(),
      ...times.getDurations(),
    });
  }
}
