import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** What the crashes of items need. */
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

/** A run that has ended. */
export interface EndedRun {
  readonly end: itemRuns.RunEnd;
  /** Events of the item before the run. */
  readonly eventsBefore: number;
}

/**
 * Items and the engines that end under them. A run that brought an event is no
 * crash of its item: the next one goes on after that event.
 */
export class ItemCrashTracker {
  readonly #options: ItemCrashTrackerOptions;

  constructor(options: ItemCrashTrackerOptions) {
    this.#options = options;
  }

  /**
   * Whether an item may run once more: not after as many engines in a row have
   * ended under it as one piece of work may end. It would end one engine after
   * the other until its submission ends.
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

  /** Notes whether the engine ended under the run, or went on after it. */
  async recordRunEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { end, eventsBefore: eventsBefore }: EndedRun,
  ): Promise<void> {
    const { crashGuard } = this.#options;
    if (end.kind === "notRun") return;
    if (end.kind === "broken" && task.progress.countMade() === eventsBefore) {
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

  /** Notes that the engine of a run has started again. */
  recordEngineRestart(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    eventsBefore: number,
  ): void {
    if (task.progress.countMade() > eventsBefore) return;
    this.#options.crashGuard.recordCrash(engine, task.getWorkDescription());
  }
}
