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
  /** Start of the engine that holds it; it is lost with this start. */
  readonly engine: registry.LifetimeKey;
  /** Ends the run, so that the item goes on elsewhere. */
  readonly cancellation: csp.Cancellation;
  /** When it began, in monotonic ms. */
  readonly startedAtMs: number;
}

/** Answers of 422 after which an item counts as impossible. */
const MAX_IMPOSSIBLE_RESPONSES = 1;

/** The work on one item of an open submission while this store leads. */
export class ItemTask {
  readonly submission: submissions.Submission;
  readonly item: submissions.SubmissionItem;
  readonly progress = new itemRuns.TextProgress();
  /** Cancelled when the item is no longer wanted. */
  readonly cancellation = new csp.Cancellation();
  readonly step: stepProgress.StepProgress;
  readonly times: phaseTimes.PhaseTimes;
  /** The run under way, if any. */
  run: TaskRun | undefined;
  /** Engine that the next run should go to, where a move planned it. */
  targetEngine: registry.LifetimeKey | undefined;
  #workDigest: crashRecords.WorkDigest | undefined;
  #isHeldBack = false;
  #runCount = 0;
  #failureCount = 0;
  #impossibleCount = 0;
  #scoringFailureCount = 0;
  #avoidedEngines: ReadonlySet<registry.LifetimeKey> = new Set();

  /** @param nowMs When the work begins, in monotonic ms. */
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

  /** Whether anyone still waits for it. */
  isActive(): boolean {
    return !this.cancellation.isCancelled() && this.phase !== "done";
  }

  /** Notes the run that begins. */
  startRun(run: TaskRun): void {
    this.run = run;
    this.targetEngine = undefined;
    this.#runCount += 1;
    this.times.enter("running", run.startedAtMs);
  }

  /** Runs so far. */
  countRuns(): number {
    return this.#runCount;
  }

  /** Engines that broke or failed this item last. */
  getAvoidedEngines(): ReadonlySet<registry.LifetimeKey> {
    return this.#avoidedEngines;
  }

  /** Model that makes its tokens, where one is named. */
  getModel(): string | undefined {
    return this.item.model ?? this.submission.model;
  }

  /** Digest of its work, the same in each submission that brings it. */
  getWorkDigest(): crashRecords.WorkDigest {
    this.#workDigest ??= crashRecords.computeWorkDigest({
      sender: this.submission.sender,
      method: "POST",
      host: this.submission.terms.host,
      target: this.item.path,
      body: Buffer.from(this.item.body, "base64"),
    });
    return this.#workDigest;
  }

  /** Names its work for operators. */
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

  /** Notes that it is held back; true the first time. */
  markHeldBack(): boolean {
    const isFirst = !this.#isHeldBack;
    this.#isHeldBack = true;
    return isFirst;
  }

  /** What it asks of an engine. */
  getRequirements(): chooseEngine.EngineRequirements {
    return {
      model: this.getModel(),
      minimumVersion: this.submission.minimumVersion,
      avoided: this.#avoidedEngines,
    };
  }

  /** Goes elsewhere next time. */
  avoid(engine: registry.LifetimeKey): void {
    this.#avoidedEngines = new Set([...this.#avoidedEngines, engine]);
  }

  /** Counts an answer of 500; true once the item may be given up. */
  recordFailure(): boolean {
    this.#failureCount += 1;
    return this.#failureCount >= this.submission.terms.attempts;
  }

  /** Counts an answer of 422; true once the item may be given up. */
  recordImpossible(): boolean {
    this.#impossibleCount += 1;
    return this.#impossibleCount >= MAX_IMPOSSIBLE_RESPONSES;
  }

  /** Counts a failed scoring call; true once the item may be given up. */
  recordScoringFailure(attempts: number): boolean {
    this.#scoringFailureCount += 1;
    return this.#scoringFailureCount >= attempts;
  }

  /**
   * Begins with a text that was kept, if its versions may make this item.
   *
   * @param texts Kept texts, whole ones first.
   * @param isSameSubmission Whether they were kept for this very submission.
   */
  restore(
    texts: readonly submissions.KeptText[],
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
    else if (isSameSubmission) this.progress.setKept(usable.lastId);
  }

  /** When all results of the submission are due, in wall ms. */
  getDueMs(): number {
    const { acceptedAtMs, terms } = this.submission;
    return acceptedAtMs + terms.targetCompletionMs;
  }
}
