import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as stepSchedule from "../step_schedule/mod.ts";
import * as describeSteps from "./describe_steps.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";
import * as shortageReporters from "./shortage_reporter.ts";

/**
 * How long a plan is reused, in ms per item. Planning time grows with the number
 * of items, so that planning for every freed slot is too slow in a large fleet.
 */
const PLAN_LIFETIME_PER_ITEM_MS = 0.05;

/** A plan that is reused until it expires. */
interface CachedPlan {
  /** Monotonic time in ms. */
  readonly expiresAtMs: number;
  readonly tasks: ReadonlySet<itemTasks.ItemTask>;
}

/** Options of a waiting order. */
export interface WaitingOrderOptions
  extends shortageReporters.ShortageReporterOptions {
  readonly clock: clocks.Clock;
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimators.LengthEstimator;
  /** Tells whether an item may run, that is, is not held back. */
  readonly canRun: (task: itemTasks.ItemTask) => boolean;
}

/** Determines the order in which waiting items of a service start. */
export class WaitingOrder {
  readonly #options: WaitingOrderOptions;
  readonly #shortageReporter: shortageReporters.ShortageReporter;
  readonly #cachedPlans = new Map<string, CachedPlan>();

  constructor(options: WaitingOrderOptions) {
    this.#options = options;
    this.#shortageReporter = new shortageReporters.ShortageReporter(options);
  }

  /**
   * Orders the waiting items of a service. Items whose run was moved come first,
   * as they already held a slot.
   *
   * @param service The service.
   * @param tasks All items of its open submissions.
   * @returns Waiting items that may run, in starting order.
   */
  order(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
  ): readonly itemTasks.ItemTask[] {
    const { canRun } = this.#options;
    const waiting = new Set(
      tasks.filter((task) => task.phase === "waiting" && canRun(task)),
    );
    const moved = [...waiting].filter((task) =>
      task.targetEngine !== undefined
    );
    for (const task of moved) waiting.delete(task);
    const planned = this.#findCachedPlan(service, waiting) ??
      this.#createPlan(service, tasks, waiting);
    return [...moved, ...[...planned].filter((task) => waiting.has(task))];
  }

  /** Finds the last plan if it has not expired and has all waiting items. */
  #findCachedPlan(
    service: string,
    waiting: ReadonlySet<itemTasks.ItemTask>,
  ): ReadonlySet<itemTasks.ItemTask> | undefined {
    const cached = this.#cachedPlans.get(service);
    if (cached === undefined) return undefined;
    if (this.#options.clock.getMonotonicMs() >= cached.expiresAtMs) {
      return undefined;
    }
    const hasAllTasks = [...waiting].every((task) => cached.tasks.has(task));
    return hasAllTasks ? cached.tasks : undefined;
  }

  #createPlan(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
    waiting: ReadonlySet<itemTasks.ItemTask>,
  ): ReadonlySet<itemTasks.ItemTask> {
    const input = this.#describe(
      service,
      tasks,
      (task) => waiting.has(task),
    );
    const plan = stepSchedule.planSteps(
      input,
      stepSchedule.DEFAULT_POLICY,
    );
    this.#shortageReporter.reportPlan(service, plan, input.capacity);
    const ordered = new Set(plan.items.map(({ work }) => work));
    const expiresAtMs = this.#options.clock.getMonotonicMs() +
      tasks.length * PLAN_LIFETIME_PER_ITEM_MS;
    this.#cachedPlans.set(service, {
      expiresAtMs,
      tasks: ordered,
    });
    return ordered;
  }

  /**
   * Estimates the slots a service needs to complete its open steps on time.
   *
   * @param service The service.
   * @param tasks All items of its open submissions.
   * @param minAvailableMs Time assumed to be left for late groups, in ms.
   */
  computeRequiredSlots(
    service: string,
    tasks: readonly itemTasks.ItemTask[],
    minAvailableMs: number,
  ): number {
    const input = this.#describe(service, tasks, () => false);
    return stepSchedule.computeRequiredSlots(input, minAvailableMs);
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
