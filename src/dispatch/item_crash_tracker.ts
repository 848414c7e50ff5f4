import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as itemTasks from "./item_task.ts";
import * as suspectTrials from "./suspect_trials.ts";

/**
 * Time after a crash for which suspect work gets an engine without other suspect
 * work, in ms. When a failure domain is lost there is more of it than engines, and
 * little of it caused a crash; then it shares.
 */
const MAX_ALONE_WAIT_MS = 1_000;
/** Successive crashes from which suspect work never shares an engine. */
const CRASHES_BEFORE_ALONE = 2;

const NO_ENGINES: ReadonlySet<registry.LifetimeKey> = new Set();

/** Options of an item crash tracker. */
export interface ItemCrashTrackerOptions {
  readonly crashGuard: Pick<
    crashGuards.CrashGuard,
    | "getSuspicion"
    | "createCrashKey"
    | "recordConnectionLoss"
    | "recordCrash"
    | "recordSuccess"
    | "recordHeldBack"
  >;
}

/** State of an item and its engine before a run. */
export interface RunStart {
  /** Number of the item's events. */
  readonly eventsBefore: number;
  /** Successive crashes that were held against the item. */
  readonly endedBefore: number;
  /** Key of the crash that the run may cause. */
  readonly crash: crashRecords.CrashKey;
}

/**
 * Tracks engine crashes during runs, so that an item that crashes engines is no
 * longer run. A run that generated an event is not counted as a crash. Crashes
 * count only in succession: engines that crash at one moment under items of one
 * group are one event.
 */
export class ItemCrashTracker {
  readonly #options: ItemCrashTrackerOptions;
  readonly #trials = new suspectTrials.SuspectTrials();

  constructor(options: ItemCrashTrackerOptions) {
    this.#options = options;
  }

  /**
   * Tells whether an item may run now: not once the maximum number of engines
   * in succession have crashed while running it, and while it is suspect only if
   * no other item of its kind is on trial. There is no pause after fewer crashes.
   */
  canRun(task: itemTasks.ItemTask): boolean {
    const { ended } = this.#getSuspicion(task);
    if (ended === 0) return true;
    if (ended < crashRecords.MAX_CONSECUTIVE_CRASHES) {
      return !this.#trials.has(task.getWorkDigest());
    }
    if (task.markHeldBack()) {
      this.#options.crashGuard.recordHeldBack(
        task.getWorkDescription(),
        ended,
        crashRecords.BLOCKED_RETURN_MS,
      );
    }
    return false;
  }

  /** Returns the engines that an item must not use, as others are on trial there. */
  getExcludedEngines(
    task: itemTasks.ItemTask,
  ): ReadonlySet<registry.LifetimeKey> {
    const { ended, sinceMs } = this.#getSuspicion(task);
    if (ended === 0) return NO_ENGINES;
    const mayShare = ended < CRASHES_BEFORE_ALONE &&
      sinceMs > MAX_ALONE_WAIT_MS;
    return mayShare ? NO_ENGINES : this.#trials.getEngines();
  }

  /** Returns the state before a run, for the records of its end. */
  startRun(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
  ): RunStart {
    const { crashGuard } = this.#options;
    const { ended } = this.#getSuspicion(task);
    if (ended > 0) this.#trials.begin(task, engine.lifetime);
    return {
      eventsBefore: task.progress.countGeneratedEvents(),
      endedBefore: ended,
      crash: crashGuard.createCrashKey(engine, () => task.getWorkDigest()),
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
    this.#options.crashGuard.recordSuccess(task.getWorkDescription());
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
    { eventsBefore, endedBefore, crash }: RunStart,
    end: itemRuns.RunOutcome,
  ): Promise<void> {
    const { crashGuard } = this.#options;
    if (end.kind === "notRun") return;
    if (
      end.kind === "broken" &&
      task.progress.countGeneratedEvents() === eventsBefore
    ) {
      if (end.isClosed) {
        await crashGuard.recordConnectionLoss(
          engine,
          task.getWorkDescription(),
          crash,
          endedBefore,
        );
      }
      return;
    }
    if (this.#getSuspicion(task).ended === 0) return;
    crashGuard.recordSuccess(task.getWorkDescription());
  }

  /** Records that the engine of a run restarted. */
  recordEngineRestart(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { eventsBefore, endedBefore, crash }: RunStart,
  ): void {
    if (task.progress.countGeneratedEvents() > eventsBefore) return;
    const work = task.getWorkDescription();
    this.#options.crashGuard.recordCrash(engine, work, crash, endedBefore);
  }

  #getSuspicion(task: itemTasks.ItemTask): crashGuards.Suspicion {
    return this.#options.crashGuard.getSuspicion(() => task.getWorkDigest());
  }
}
