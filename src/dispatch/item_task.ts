import * as accounts from "../client_account/mod.ts";
import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as csp from "../csp/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as chooseEngine from "./choose_engine.ts";
import type * as registry from "../registry/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as phaseTimes from "./phase_times.ts";
import type * as stepProgresses from "./step_progress.ts";

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
const MAX_IMPOSSIBLE = 1;

/** The work on one item of an open submission while this store leads. */
export class ItemTask {
  readonly submission: submissions.Submission;
  readonly item: submissions.SubmissionItem;
  readonly progress = new itemRuns.TextProgress();
  /** Cancelled when the item is no longer wanted. */
  readonly cancellation = new csp.Cancellation();
  readonly step: stepProgresses.StepProgress;
  readonly times: phaseTimes.PhaseTimes;
  /** The run under way, if any. */
  run: TaskRun | undefined;
  /** Engine that the next run should go to, where a move planned it. */
  target: registry.LifetimeKey | undefined;
  #work: crashRecords.WorkDigest | undefined;
  #isHeldBack = false;
  #runs = 0;
  #failures = 0;
  #impossible = 0;
  #scoreFailures = 0;
  #avoided: ReadonlySet<registry.LifetimeKey> = new Set();

  /** @param nowMs When the work begins, in monotonic ms. */
  constructor(
    submission: submissions.Submission,
    item: submissions.SubmissionItem,
    step: stepProgresses.StepProgress,
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
  isWanted(): boolean {
    return !this.cancellation.isCancelled() && this.phase !== "done";
  }

  /** Notes the run that begins. */
  beginRun(run: TaskRun): void {
    this.run = run;
    this.target = undefined;
    this.#runs += 1;
    this.times.enter("running", run.startedAtMs);
  }

  /** Runs so far. */
  countRuns(): number {
    return this.#runs;
  }

  /** Engines that broke or failed this item last. */
  getAvoided(): ReadonlySet<registry.LifetimeKey> {
    return this.#avoided;
  }

  /** Model that makes its tokens, where one is named. */
  getModel(): string | undefined {
    return this.item.model ?? this.submission.model;
  }

  /** Digest of its work, the same in each submission that brings it. */
  getWork(): crashRecords.WorkDigest {
    this.#work ??= crashRecords.computeWorkDigest({
      sender: this.submission.sender,
      method: "POST",
      host: this.submission.terms.host,
      target: this.item.path,
      body: Buffer.from(this.item.body, "base64"),
    });
    return this.#work;
  }

  /** Names its work for operators. */
  getName(): crashGuards.WorkName {
    const { sender, terms } = this.submission;
    return {
      digest: this.getWork(),
      carrier: this.item.id,
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
  getNeed(): chooseEngine.EngineNeed {
    return {
      model: this.getModel(),
      minimumVersion: this.submission.minimumVersion,
      avoided: this.#avoided,
    };
  }

  /** Goes elsewhere next time. */
  avoid(engine: registry.LifetimeKey): void {
    this.#avoided = new Set([...this.#avoided, engine]);
  }

  /** Counts an answer of 500; true once the item may be given up. */
  countFailure(): boolean {
    this.#failures += 1;
    return this.#failures >= this.submission.terms.attempts;
  }

  /** Counts an answer of 422; true once the item may be given up. */
  countImpossible(): boolean {
    this.#impossible += 1;
    return this.#impossible >= MAX_IMPOSSIBLE;
  }

  /** Counts a failed scoring call; true once the item may be given up. */
  countScoreFailure(attempts: number): boolean {
    this.#scoreFailures += 1;
    return this.#scoreFailures >= attempts;
  }

  /**
   * Begins with a text that was kept, if its versions may make this item.
   *
   * @param texts Kept texts, whole ones first.
   * @param isOwn Whether they were kept for this very submission.
   */
  restore(texts: readonly submissions.StoredText[], isOwn: boolean): void {
    const { minimumVersion, terms } = this.submission;
    const fitting = texts.find(({ versions }) =>
      versions.every((version) => version >= minimumVersion) &&
      (!terms.isSingleVersion || versions.length === 1)
    );
    if (fitting === undefined) return;
    this.progress.restore(fitting);
    if (fitting.lastId === undefined) this.times.begin("scoring");
    else if (isOwn) this.progress.setKept(fitting.lastId);
  }

  /** When all results of the submission are due, in wall ms. */
  getDueMs(): number {
    const { acceptedAtMs, terms } = this.submission;
    return acceptedAtMs + terms.targetCompletionMs;
  }
}
