import * as accounts from "../client_account/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as stepSchedule from "../step_schedule/mod.ts";
import * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimates from "./length_estimates.ts";

/**
 * Time from the last event of a group until its trainer has read it, in ms: its
 * scoring and listing, and the time between two reads.
 */
const READ_MS = 700;
/** Time that an item is taken to need for its scoring, in ms. */
const SCORING_MS = 100;
/** Least time between two events that an engine is believed, in ms. */
const MIN_GAP_MS = 1;
/** Urgency of submissions that do not tell theirs. */
const FIRST_PRIORITY = 0;

/** What a description needs to know. */
export interface StepKnowledge {
  readonly nowMs: number;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimates.LengthEstimates;
  /** Tells whether an item waits for a place and may run. */
  readonly canStart: (task: itemTasks.ItemTask) => boolean;
}

/**
 * Describes the open steps of a service for a plan.
 *
 * @param tasks All items of its open submissions.
 * @param servers Engines of the service that take work.
 * @param knowledge The wall time, speeds and lengths.
 * @returns The situation that is planned for.
 */
export function describeSteps(
  tasks: readonly itemTasks.ItemTask[],
  servers: readonly registry.RegisteredServer[],
  knowledge: StepKnowledge,
): stepSchedule.ScheduleInput<itemTasks.ItemTask> {
  const { nowMs, engines } = knowledge;
  const medianMs = engines.getMedianGapMs();
  const places = servers.reduce(
    (sum, engine) =>
      sum + engine.slots * medianMs /
        Math.max(MIN_GAP_MS, engines.getGapMs(engine.lifetime)),
    0,
  );
  const usualMs = medianMs * engineTables.getSlowdown(1, 1);
  const byStep = new Map<string, itemTasks.ItemTask[]>();
  for (const task of tasks) {
    if (!task.isWanted()) continue;
    const { id } = task.submission;
    const known = byStep.get(id);
    if (known === undefined) byStep.set(id, [task]);
    else known.push(task);
  }
  const steps = [...byStep.values()].flatMap((items) =>
    describeStep(items, usualMs, knowledge)
  );
  return { nowMs, capacity: places, steps };
}

function describeStep(
  tasks: readonly itemTasks.ItemTask[],
  usualMs: number,
  knowledge: StepKnowledge,
): readonly stepSchedule.OpenStep<itemTasks.ItemTask>[] {
  const [first] = tasks;
  if (first === undefined) return [];
  const { submission, step } = first;
  const groups = new Map<string, stepSchedule.OpenItem<itemTasks.ItemTask>[]>();
  for (const task of tasks) {
    const group = task.item.group ?? task.item.id;
    const known = groups.get(group) ?? [];
    groups.set(group, known);
    known.push(describeItem(task, usualMs, knowledge));
  }
  const { sender, model, terms } = submission;
  const account = accounts.getAccountName(sender);
  return [{
    trainer: `${account} ${model ?? terms.host}`,
    priority: terms.priority ?? FIRST_PRIORITY,
    dueMs: first.getDueMs() - READ_MS,
    whole: step.countWhole(),
    missing: step.countMissing(),
    groups: [...groups].map(([group, items]) => ({
      isCarried: step.isCarried(group),
      items,
    })),
  }];
}

function describeItem(
  task: itemTasks.ItemTask,
  usualMs: number,
  { engines, lengths, canStart }: StepKnowledge,
): stepSchedule.OpenItem<itemTasks.ItemTask> {
  return {
    work: task,
    remainingMs: estimateMs(),
    isWaiting: canStart(task),
  };

  function estimateMs(): number {
    if (task.phase === "scoring") return SCORING_MS;
    const { run } = task;
    const gapMs = run === undefined ? usualMs : engines.getGapMs(run.engine);
    return lengths.estimateRemaining(task) * gapMs;
  }
}
