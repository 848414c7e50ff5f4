import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as stepSchedule from "../step_schedule/mod.ts";
import * as describeSteps from "./describe_steps.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimates from "./length_estimates.ts";
import * as shortageWatches from "./shortage_watch.ts";

/**
 * How long a plan holds, in ms an item of it: a plan takes time by the number of
 * items, and in a large fleet places come free more often than it could be made.
 */
const KEEP_MS_AN_ITEM = 0.05;

/** A plan that holds for a while. */
interface KeptPlan {
  readonly untilMs: number;
  readonly tasks: ReadonlySet<itemTasks.ItemTask>;
}

/** What the order of waiting items needs. */
export interface WaitingOrderOptions
  extends shortageWatches.ShortageWatchOptions {
  readonly clock: clocks.Clock;
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimates.LengthEstimates;
  /** Tells whether an item may run at all. */
  readonly canRun: (task: itemTasks.ItemTask) => boolean;
}

/** Which waiting items of a service start first. */
export class WaitingOrder {
  readonly #options: WaitingOrderOptions;
  readonly #shortage: shortageWatches.ShortageWatch;
  readonly #kept = new Map<string, KeptPlan>();

  constructor(options: WaitingOrderOptions) {
    this.#options = options;
    this.#shortage = new shortageWatches.ShortageWatch(options);
  }

  /**
   * Orders the waiting items of a service. Moved runs come first: they had
   * their places already.
   *
   * @param service The service.
   * @param tasks All items of its open submissions.
   * @returns Waiting items that may run, first to start first.
   */
  order(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
  ): readonly itemTasks.ItemTask[] {
    const { canRun } = this.#options;
    const waiting = new Set(
      tasks.filter((task) => task.phase === "waiting" && canRun(task)),
    );
    const moved = [...waiting].filter((task) => task.target !== undefined);
    for (const task of moved) waiting.delete(task);
    const planned = this.#findPlan(service, waiting) ??
      this.#plan(service, tasks, waiting);
    return [...moved, ...[...planned].filter((task) => waiting.has(task))];
  }

  /** The plan made last, where it still holds for all that wait. */
  #findPlan(
    service: string,
    waiting: ReadonlySet<itemTasks.ItemTask>,
  ): ReadonlySet<itemTasks.ItemTask> | undefined {
    const kept = this.#kept.get(service);
    if (kept === undefined) return undefined;
    if (this.#options.clock.getMonotonicMs() >= kept.untilMs) return undefined;
    const isWhole = [...waiting].every((task) => kept.tasks.has(task));
    return isWhole ? kept.tasks : undefined;
  }

  #plan(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
    waiting: ReadonlySet<itemTasks.ItemTask>,
  ): ReadonlySet<itemTasks.ItemTask> {
    const situation = this.#describe(
      service,
      tasks,
      (task) => waiting.has(task),
    );
    const plan = stepSchedule.planSteps(
      situation,
      stepSchedule.DEFAULT_POLICY,
    );
    this.#shortage.note(service, plan, situation.capacity);
    const ordered = new Set(plan.items.map(({ work }) => work));
    const untilMs = this.#options.clock.getMonotonicMs() +
      tasks.length * KEEP_MS_AN_ITEM;
    this.#kept.set(service, { untilMs, tasks: ordered });
    return ordered;
  }

  /**
   * Counts the places that the open steps of a service need to be in time.
   *
   * @param service The service.
   * @param tasks All items of its open submissions.
   * @param leastMs Time that late groups are given, in ms.
   */
  countNeededPlaces(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
    leastMs: number,
  ): number {
    const situation = this.#describe(service, tasks, () => false);
    return stepSchedule.computeRequiredSlots(situation, leastMs);
  }

  #describe(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
    canStart: (task: itemTasks.ItemTask) => boolean,
  ): stepSchedule.ScheduleInput<itemTasks.ItemTask> {
    const { clock, engines, lengths, servers } = this.#options;
    return describeSteps.describeSteps(tasks, servers.listReady(service), {
      nowMs: clock.getWallMs(),
      engines,
      lengths,
      canStart,
    });
  }
}
