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
    | "recordConnectionLoss"
    | "recordCrash"
    | "recordSuccess"
    | "recordHeldBack"
  >;
}

/** The end of a run, with the progress before it. */
export interface EndedRun {
  readonly end: itemRuns.RunOutcome;
  /** Number of the item's events before the run. */
  readonly eventsBefore: number;
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

  /** Records whether the engine crashed during the run or survived it. */
  async recordRunEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { end, eventsBefore }: EndedRun,
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
    eventsBefore: number,
  ): void {
    if (task.progress.countGeneratedEvents() > eventsBefore) return;
    this.#options.crashGuard.recordCrash(engine, task.getWorkDescription());
  }
}
