import * as accounts from "../client_account/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as stepSchedule from "../step_schedule/mod.ts";
import * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";

/**
 * Allowance between the last event of a group and the trainer's read of its
 * results, in ms: scoring, recording, and the trainer's polling interval.
 */
const READ_DELAY_MS = 700;
/** Estimated time to score an item, in ms. */
const SCORING_ESTIMATE_MS = 100;
/** Lower bound of event intervals, in ms; avoids division by zero. */
const MIN_INTERVAL_MS = 1;
/** Priority of submissions that don't specify one; 0 is the most urgent. */
const DEFAULT_PRIORITY = 0;

/** Inputs for the description of steps besides tasks and engines. */
export interface DescribeStepsContext {
  /** Wall time in ms. */
  readonly nowMs: number;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimators.LengthEstimator;
  /** Tells whether an item is waiting for a slot and may run. */
  readonly canStart: (task: itemTasks.ItemTask) => boolean;
}

/**
 * Describes the open steps of a service as input for the step scheduler.
 *
 * @param tasks All items of the service's open submissions.
 * @param servers Engines of the service that accept work.
 * @param context Wall time, engine speeds and length estimates.
 * @returns The steps with their remaining work, and the capacity in slots at
 *   median speed.
 */
export function describeSteps(
  tasks: readonly itemTasks.ItemTask[],
  servers: readonly registry.RegisteredServer[],
  context: DescribeStepsContext,
): stepSchedule.ScheduleInput<itemTasks.ItemTask> {
  const { nowMs, engines } = context;
  const medianIntervalMs = engines.getMedianIdleIntervalMs();
  const capacity = servers.reduce(
    (sum, engine) =>
      sum + engine.slots * medianIntervalMs /
        Math.max(MIN_INTERVAL_MS, engines.getIdleIntervalMs(engine.lifetime)),
    0,
  );
  const loadedIntervalMs = medianIntervalMs *
    engineTables.computeSlowdown(1, 1);
  const tasksByStep = new Map<string, itemTasks.ItemTask[]>();
  for (const task of tasks) {
    if (!task.isActive()) continue;
    const { id } = task.submission;
    const stepTasks = tasksByStep.get(id);
    if (stepTasks === undefined) tasksByStep.set(id, [task]);
    else stepTasks.push(task);
  }
  const steps = [...tasksByStep.values()].flatMap((items) =>
    describeStep(items, loadedIntervalMs, context)
  );
  return { nowMs, capacity, steps };
}

function describeStep(
  tasks: readonly itemTasks.ItemTask[],
  loadedIntervalMs: number,
  context: DescribeStepsContext,
): readonly stepSchedule.OpenStep<itemTasks.ItemTask>[] {
  const [first] = tasks;
  if (first === undefined) return [];
  const { submission, step } = first;
  const groups = new Map<string, stepSchedule.OpenItem<itemTasks.ItemTask>[]>();
  for (const task of tasks) {
    const group = task.item.group ?? task.item.id;
    const groupItems = groups.get(group) ?? [];
    groups.set(group, groupItems);
    groupItems.push(describeItem(task, loadedIntervalMs, context));
  }
  const { sender, model, terms } = submission;
  const account = accounts.getAccountName(sender);
  return [{
    trainer: `${account} ${model ?? terms.host}`,
    priority: terms.priority ?? DEFAULT_PRIORITY,
    dueMs: first.getDueMs() - READ_DELAY_MS,
    whole: step.countCompleteGroups(),
    missing: step.countMissingGroups(),
    groups: [...groups].map(([group, items]) => ({
      isCarried: step.isCarried(group),
      items,
    })),
  }];
}

function describeItem(
  task: itemTasks.ItemTask,
  loadedIntervalMs: number,
  { engines, lengths, canStart }: DescribeStepsContext,
): stepSchedule.OpenItem<itemTasks.ItemTask> {
  return {
    work: task,
    remainingMs: estimateRemainingMs(),
    isWaiting: canStart(task),
  };

  function estimateRemainingMs(): number {
    if (task.phase === "scoring") return SCORING_ESTIMATE_MS;
    const { run } = task;
    const intervalMs = run === undefined
      ? loadedIntervalMs
      : engines.getIdleIntervalMs(run.engine);
    return lengths.estimateRemaining(task) * intervalMs;
  }
}
