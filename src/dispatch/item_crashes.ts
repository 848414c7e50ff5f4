import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** What the crashes of items need. */
export interface ItemCrashesOptions {
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
  readonly madeBefore: number;
}

/**
 * Items and the engines that end under them. A run that brought an event is no
 * crash of its item: the next one goes on after that event.
 */
export class ItemCrashes {
  readonly #options: ItemCrashesOptions;

  constructor(options: ItemCrashesOptions) {
    this.#options = options;
  }

  /**
   * Whether an item may run once more: not after as many engines in a row have
   * ended under it as one piece of work may end. It would end one engine after
   * the other until its submission ends.
   */
  canRun(task: itemTasks.ItemTask): boolean {
    const { crashGuard } = this.#options;
    const verdict = crashGuard.decideRun(() => task.getWork());
    const isBarred = verdict.kind === "heldBack" &&
      verdict.ended >= crashRecords.MAX_CONSECUTIVE_CRASHES;
    if (isBarred && task.markHeldBack()) {
      crashGuard.recordHeldBack(
        task.getName(),
        verdict.ended,
        verdict.returnMs,
      );
    }
    return !isBarred;
  }

  /** Notes whether the engine ended under the run, or went on after it. */
  async noteEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    { end, madeBefore }: EndedRun,
  ): Promise<void> {
    const { crashGuard } = this.#options;
    if (end.kind === "notRun") return;
    if (end.kind === "broken" && task.progress.countMade() === madeBefore) {
      if (end.isClosed) {
        await crashGuard.recordConnectionLoss(engine, task.getName());
      }
      return;
    }
    if (crashGuard.decideRun(() => task.getWork()).kind === "free") return;
    crashGuard.recordSuccess(task.getName());
  }

  /** Notes that the engine of a run has started again. */
  noteLost(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    madeBefore: number,
  ): void {
    if (task.progress.countMade() > madeBefore) return;
    this.#options.crashGuard.recordCrash(engine, task.getName());
  }
}
