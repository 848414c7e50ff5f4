import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as itemTasks from "./item_task.ts";
import * as resultWriters from "./result_writer.ts";
import * as scoreItem from "./score_item.ts";

/** Pause before a scoring call is repeated, in ms. */
const SCORING_RETRY_DELAY_MS = 60;
/** Longest pause of a scoring call that is held back, in ms. */
const MAX_SCORING_RETRY_DELAY_MS = 1_000;

/** What an item finisher needs. */
export interface ItemFinisherOptions
  extends scoreItem.ScoringOptions, resultWriters.ResultWriterOptions {
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
}

/** Takes items from their whole text, or their last failure, to a listed result. */
export class ItemFinisher {
  readonly #options: ItemFinisherOptions;
  readonly #writer: resultWriters.ResultWriter;

  constructor(options: ItemFinisherOptions) {
    this.#options = options;
    this.#writer = new resultWriters.ResultWriter(options);
  }

  /** Forgets what waits to be listed, as when another store leads. */
  discardPending(): void {
    this.#writer.discardPending();
  }

  /** Has a whole text scored, again until it is, and lists its result. */
  async score(task: itemTasks.ItemTask): Promise<void> {
    if (task.item.scoring === undefined) return this.#complete(task, undefined);
    while (task.isActive()) {
      const outcome = await scoreItem.scoreItem(task, this.#options);
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
      const retryAfterMs = "returnMs" in outcome
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
    const delta = { ...full, text: progress.getUnkeptText() };
    this.#recordResult(task, delta, full);
  }

  /** Lists an item that can't be done as given up. */
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
      : task.progress.getKeptLastId();
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

  /** Logs what the last item that a step waited for spent its time on. */
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
      events: progress.countMade(),
      runs: task.countRuns(),
      ...times.getDurations(),
    });
  }
}
