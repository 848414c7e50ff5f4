import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** Options of an item crash tracker. */
export interface ItemCrashTrackerOptions {
  readonly crashGuard: Pick<
    crashGuards.CrashGuard,
    | "decideRun"
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
  /** Key of the crash that the run may cause. */
  readonly crash: crashRecords.CrashKey;
}

/**
 * Tracks engine crashes during runs, so that an item that crashes engines is no
 * longer run. A run that generated an event is not counted as a crash.
 */
export class ItemCrashTracker {
  readonly #options: ItemCrashTrackerOptions;

  constructor(options: ItemCrashTrackerOptions) {
    this.#options = options;
  }

  /**
   * Tells whether an item may run again: not once the maximum number of engines
   * in a row have crashed while running it. The pause after fewer crashes does
   * not apply.
   */
  canRun(task: itemTasks.ItemTask): boolean {
    const { crashGuard } = this.#options;
    const verdict = crashGuard.decideRun(() => task.getWorkDigest());
    const isBlocked = verdict.kind === "heldBack" &&
      verdict.ended >= crashRecords.MAX_CONSECUTIVE_CRASHES;
    if (isBlocked && task.markHeldBack()) {
      crashGuard.recordHeldBack(
        task.getWorkDescription(),
        verdict.ended,
        verdict.returnMs,
      );
    }
    return !isBlocked;
  }

  /** Returns the state before a run, for the records of its end. */
  startRun(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
  ): RunStart {
    const { crashGuard } = this.#options;
    return {
      eventsBefore: task.progress.countGeneratedEvents(),
      crash: crashGuard.createCrashKey(engine, () => task.getWorkDigest()),
    };
  }

  /** Records whether the engine crashed during the run or survived it. */
  async recordRunEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { eventsBefore, crash }: RunStart,
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
        );
      }
      return;
    }
    if (crashGuard.decideRun(() => task.getWorkDigest()).kind === "free") {
      return;
    }
    crashGuard.recordSuccess(task.getWorkDescription());
  }

  /** Records that the engine of a run restarted. */
  recordEngineRestart(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { eventsBefore, crash }: RunStart,
  ): void {
    if (task.progress.countGeneratedEvents() > eventsBefore) return;
    const work = task.getWorkDescription();
    this.#options.crashGuard.recordCrash(engine, work, crash);
  }
}
