import * as accounts from "../client_account/mod.ts";
import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as csp from "../csp/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as chooseEngine from "./choose_engine.ts";
import type * as registry from "../registry/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as phaseTimes from "./phase_times.ts";
import type * as stepProgress from "./step_progress.ts";

/** A run of an item at an engine. */
export interface TaskRun {
  /** Lifetime of the engine; the run is lost when it restarts. */
  readonly engine: registry.LifetimeKey;
  /** Cancels the run, so that the item resumes at another engine. */
  readonly cancellation: csp.Cancellation;
  /** Start of the run, in monotonic ms. */
  readonly startedAtMs: number;
}

/** Number of responses with status 422 after which an item is given up. */
const MAX_IMPOSSIBLE_RESPONSES = 1;

/** State of one item of an open submission while this store is the leader. */
export class ItemTask {
  readonly submission: submissions.Submission;
  readonly item: submissions.SubmissionItem;
  readonly progress = new itemRuns.TextProgress();
  /** Cancelled when the submission ends or leadership is lost. */
  readonly cancellation = new csp.Cancellation();
  readonly step: stepProgress.StepProgress;
  readonly times: phaseTimes.PhaseTimes;
  /** The current run, if any. */
  run: TaskRun | undefined;
  /** Preferred engine of the next run, set when a run is moved. */
  targetEngine: registry.LifetimeKey | undefined;
  #workDigest: crashRecords.WorkDigest | undefined;
  #runCount = 0;
  #failureCount = 0;
  #impossibleCount = 0;
  #scoringFailureCount = 0;
  #avoidedEngines: ReadonlySet<registry.LifetimeKey> = new Set();

  /** @param nowMs When the task is created, in monotonic ms. */
  constructor(
    submission: submissions.Submission,
    item: submissions.SubmissionItem,
    step: stepProgress.StepProgress,
    nowMs: number,
  ) {
    this.submission = submission;
    this.item = item;
    this.step = step;
    this.times = new phaseTimes.PhaseTimes(nowMs);
  }

  get phase(): phaseTimes.TaskPhase {
    return this.times.getPhase();
  }

  /** Tells whether the task is neither cancelled nor done. */
  isActive(): boolean {
    return !this.cancellation.isCancelled() && this.phase !== "done";
  }

  /** Enters the running phase with a new run. */
  startRun(run: TaskRun): void {
    this.run = run;
    this.targetEngine = undefined;
    this.#runCount += 1;
    this.times.enter("running", run.startedAtMs);
  }

  /** Returns the number of runs started so far. */
  countRuns(): number {
    return this.#runCount;
  }

  /** Returns the lifetimes of engines that failed this item. */
  getAvoidedEngines(): ReadonlySet<registry.LifetimeKey> {
    return this.#avoidedEngines;
  }

  /** Returns the model of the item or else its submission, if specified. */
  getModel(): string | undefined {
    return this.item.model ?? this.submission.model;
  }

  /** Returns the item's digest, which is equal in every submission of it. */
  getWorkDigest(): crashRecords.WorkDigest {
    this.#workDigest ??= crashRecords.computeWorkDigest({
      sender: this.submission.sender,
      method: "POST",
      host: this.submission.terms.host,
      target: this.item.path,
      body: Buffer.from(this.item.body, "base64"),
      isOwed: true,
    });
    return this.#workDigest;
  }

  /** Returns the item's identification for logs and operators. */
  getWorkDescription(): crashGuards.WorkDescription {
    const { sender, terms } = this.submission;
    return {
      digest: this.getWorkDigest(),
      requestId: this.item.id,
      account: accounts.getAccountName(sender),
      service: terms.service,
      target: this.item.path,
    };
  }

  /** Returns the requirements on engines that may run the item. */
  getRequirements(): chooseEngine.EngineRequirements {
    return {
      model: this.getModel(),
      minimumVersion: this.submission.minimumVersion,
      avoided: this.#avoidedEngines,
    };
  }

  /** Adds an engine to those that the item avoids. */
  avoid(engine: registry.LifetimeKey): void {
    this.#avoidedEngines = new Set([...this.#avoidedEngines, engine]);
  }

  /** Counts a failed run; returns true once the item should be given up. */
  recordFailure(): boolean {
    this.#failureCount += 1;
    return this.#failureCount >= this.submission.terms.attempts;
  }

  /** Counts a response of 422; returns true once the item should be given up. */
  recordImpossible(): boolean {
    this.#impossibleCount += 1;
    return this.#impossibleCount >= MAX_IMPOSSIBLE_RESPONSES;
  }

  /** Counts a failed scoring call; returns true at the maximum of attempts. */
  recordScoringFailure(attempts: number): boolean {
    this.#scoringFailureCount += 1;
    return this.#scoringFailureCount >= attempts;
  }

  /**
   * Resumes from the first stored text whose weight versions the submission
   * accepts. A complete text goes straight to scoring.
   *
   * @param texts Stored texts, complete ones first.
   * @param isSameSubmission Whether they were stored for this submission.
   */
  restore(
    texts: readonly submissions.StoredText[],
    isSameSubmission: boolean,
  ): void {
    const { minimumVersion, terms } = this.submission;
    const usable = texts.find(({ versions }) =>
      versions.every((version) => version >= minimumVersion) &&
      (!terms.isSingleVersion || versions.length === 1)
    );
    if (usable === undefined) return;
    this.progress.restore(usable);
    if (usable.lastId === undefined) this.times.setInitialPhase("scoring");
    else if (isSameSubmission) this.progress.markStored(usable.lastId);
  }

  /** Returns when all results of the submission are due, in wall time in ms. */
  getDueMs(): number {
    const { acceptedAtMs, terms } = this.submission;
    return acceptedAtMs + terms.targetCompletionMs;
  }
}
