import type * as clocks from "../clock/mod.ts";
import type * as crashGuards from "../crash_guard/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as itemTasks from "./item_task.ts";
import * as suspectTrials from "./suspect_trials.ts";

/**
 * Time after a crash for which suspect work gets an engine without other suspect
 * work, in ms. When a failure domain is lost there is more of it than engines; then
 * it shares.
 */
const MAX_ALONE_WAIT_MS = 1_000;
/**
 * Time for which a trial that makes no event holds up other items of its kind, in
 * ms. An engine that loads weights may keep a run for seconds before its first event.
 */
const MAX_TRIAL_WAIT_MS = 1_000;
/** Successive crashes from which work pauses before its next run. */
const CRASHES_BEFORE_PAUSE = 3;
/** First pause, in ms; each further crash doubles it. */
const FIRST_PAUSE_MS = 250;
/** Longest pause, in ms: short against the time in which a step is due. */
const MAX_PAUSE_MS = 1_000;
/** Time after its latest crash for which work is remembered, in ms. */
const RETENTION_MS = 60_000;

const NO_ENGINES: ReadonlySet<registry.LifetimeKey> = new Set();

/** Options of an item crash tracker. */
export interface ItemCrashTrackerOptions {
  readonly clock: clocks.Clock;
  readonly log: Pick<logs.Log, "write">;
  readonly crashGuard: Pick<
    crashGuards.CrashGuard,
    "hasCrashed" | "createCrashKey" | "recordCrash"
  >;
}

/** State of an item and its engine before a run. */
export interface RunStart {
  /** Number of the item's events. */
  readonly eventsBefore: number;
  /** Successive crashes that were known of the work. */
  readonly crashesBefore: number;
  /** Key of the crash that the run may meet. */
  readonly crash: crashRecords.CrashKey;
}

/** Crashes of engines in succession under one piece of work. */
interface CrashSeries {
  readonly crashes: number;
  /** Time of the latest crash, in monotonic ms. */
  readonly latestAtMs: number;
}

/**
 * Paces items whose engines crashed. An accepted item is owed, so it runs again
 * however many engines crash under it; but one item of its kind at a time until
 * one generates an event, and after several crashes with a pause. A run that
 * generated an event is not counted. Crashes count only in succession: engines that
 * crash at one moment under items of one group are one event.
 */
export class ItemCrashTracker {
  readonly #options: ItemCrashTrackerOptions;
  readonly #trials = new suspectTrials.SuspectTrials();
  readonly #series = new Map<crashRecords.WorkDigest, CrashSeries>();

  constructor(options: ItemCrashTrackerOptions) {
    this.#options = options;
  }

  /**
   * Tells whether an item may run now: while its work is suspect only if no other
   * item of its kind is on trial and its pause is over.
   */
  canRun(task: itemTasks.ItemTask): boolean {
    const series = this.#getSeries(task);
    if (series === undefined) return true;
    if (this.#isAwaitingTrial(task)) return false;
    return this.#getAgeMs(series) >= computePauseMs(series.crashes);
  }

  #isAwaitingTrial(task: itemTasks.ItemTask): boolean {
    const startMs = this.#trials.getStartMs(task.getWorkDigest());
    if (startMs === undefined) return false;
    const nowMs = this.#options.clock.getMonotonicMs();
    return nowMs - startMs < MAX_TRIAL_WAIT_MS;
  }

  /** Returns the engines that an item must not use, as others are on trial there. */
  getExcludedEngines(
    task: itemTasks.ItemTask,
  ): ReadonlySet<registry.LifetimeKey> {
    const series = this.#getSeries(task);
    if (series === undefined) return NO_ENGINES;
    const mayShare = this.#getAgeMs(series) > MAX_ALONE_WAIT_MS;
    return mayShare ? NO_ENGINES : this.#trials.getEngines();
  }

  /** Returns the state before a run, for the records of its end. */
  startRun(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
  ): RunStart {
    const crashesBefore = this.#getSeries(task)?.crashes ?? 0;
    if (crashesBefore > 0) {
      const nowMs = this.#options.clock.getMonotonicMs();
      this.#trials.begin(task, engine.lifetime, nowMs);
    }
    return {
      eventsBefore: task.progress.countGeneratedEvents(),
      crashesBefore,
      crash: this.#options.crashGuard.createCrashKey(
        engine,
        () => task.getWorkDigest(),
      ),
    };
  }

  /**
   * Records that a run generated an event: the engine survived its begin, and
   * other items of its kind may run again.
   *
   * @returns Whether this ended a trial.
   */
  recordEvent(task: itemTasks.ItemTask): boolean {
    if (!this.#trials.end(task)) return false;
    this.#series.delete(task.getWorkDigest());
    return true;
  }

  /** Records whether the engine crashed during the run or survived it. */
  async recordRunEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    runStart: RunStart,
    end: itemRuns.RunOutcome,
  ): Promise<void> {
    await this.#recordOutcome(task, engine, runStart, end);
    this.#trials.end(task);
  }

  async #recordOutcome(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    runStart: RunStart,
    end: itemRuns.RunOutcome,
  ): Promise<void> {
    if (end.kind === "notRun" || end.kind === "lost") return;
    const isWithoutEvent =
      task.progress.countGeneratedEvents() === runStart.eventsBefore;
    if (end.kind === "broken" && isWithoutEvent) {
      if (!end.isClosed) return;
      const hasCrashed = await this.#options.crashGuard.hasCrashed(engine);
      if (hasCrashed) this.#recordCrash(task, engine, runStart);
      return;
    }
    if (this.#series.size > 0) this.#series.delete(task.getWorkDigest());
  }

  /** Records that the engine of a run restarted. */
  recordEngineRestart(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    runStart: RunStart,
  ): void {
    const { eventsBefore } = runStart;
    if (task.progress.countGeneratedEvents() > eventsBefore) return;
    this.#recordCrash(task, engine, runStart);
  }

  #recordCrash(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { crashesBefore, crash }: RunStart,
  ): void {
    const { clock, crashGuard, log } = this.#options;
    crashGuard.recordCrash(engine, task.getWorkDescription(), crash, false);
    const known = this.#getSeries(task)?.crashes ?? 0;
    // A run that did not follow the known crashes met the same event as they did.
    const isSuccessive = known <= crashesBefore;
    const crashes = isSuccessive ? known + 1 : known;
    if (isSuccessive) {
      this.#removeExpired();
      const latestAtMs = clock.getMonotonicMs();
      this.#series.set(task.getWorkDigest(), { crashes, latestAtMs });
    }
    log.write("info", "item.engineCrashed", {
      item: task.item.id,
      work: task.getWorkDigest(),
      server: engine.id,
      crashes,
      successive: isSuccessive,
      pauseMs: computePauseMs(crashes),
    });
  }

  #getSeries(task: itemTasks.ItemTask): CrashSeries | undefined {
    if (this.#series.size === 0) return undefined;
    return this.#series.get(task.getWorkDigest());
  }

  #getAgeMs({ latestAtMs }: CrashSeries): number {
    return this.#options.clock.getMonotonicMs() - latestAtMs;
  }

  #removeExpired(): void {
    for (const [digest, series] of this.#series) {
      if (this.#getAgeMs(series) > RETENTION_MS) this.#series.delete(digest);
    }
  }
}

/** Computes the pause before the run after a number of successive crashes, in ms. */
function computePauseMs(crashes: number): number {
  if (crashes < CRASHES_BEFORE_PAUSE) return 0;
  const pauseMs = FIRST_PAUSE_MS * 2 ** (crashes - CRASHES_BEFORE_PAUSE);
  return Math.min(pauseMs, MAX_PAUSE_MS);
}
