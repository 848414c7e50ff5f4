import type * as groupDemands from "./group_demand.ts";
import type * as scheduleTypes from "./schedule_types.ts";

/**
 * Share of the capacity that admitted groups may use. The rest absorbs length
 * estimates that are too low and pauses of engines that load weights, and is
 * otherwise used by late groups.
 */
const PLANNED_CAPACITY_SHARE = 0.75;

/**
 * A group is late if its longest item is expected to run longer than this
 * multiple of the time until the step is due. Above 1, because length estimates
 * are accurate only in the median and deferring a group delays its trainer.
 */
const MAX_OVERRUN_FACTOR = 2;

/** Groups of one trainer that have been admitted so far. */
interface TrainerAdmission<Work> {
  readonly priority: number;
  /** Number of groups that the trainer waits for, including complete ones. */
  readonly wantedGroups: number;
  /** Number of complete and admitted groups. */
  inTimeGroups: number;
  /** Admitted groups, sorted by ascending total remaining time. */
  readonly admitted: groupDemands.GroupDemand<Work>[];
}

/**
 * Selects the groups that can complete before their steps are due. Groups are
 * admitted by ascending due time; whenever the admitted ones exceed the capacity
 * available until then, one of them is dropped, from any step. This is the
 * Moore-Hodgson algorithm for the fewest late jobs, with the slots of all engines
 * treated as a single processor.
 *
 * @param groups Groups that trainers wait for, by ascending due time.
 * @param input Current time, capacity and open steps.
 * @param dropRule Which group to drop when capacity is exceeded.
 * @returns The admitted groups.
 */
export function admitGroups<Work>(
  groups: readonly groupDemands.GroupDemand<Work>[],
  { nowMs, capacity, steps }: scheduleTypes.ScheduleInput<Work>,
  dropRule: scheduleTypes.DropRule,
): ReadonlySet<groupDemands.GroupDemand<Work>> {
  const trainers = createTrainerAdmissions(steps);
  const all = [...trainers.values()];
  let totalMs = 0;
  for (const group of groups) {
    const availableMs = group.step.dueMs - nowMs;
    if (group.longestRemainingMs > MAX_OVERRUN_FACTOR * availableMs) continue;
    const trainer = trainers.get(group.step.trainer);
    if (trainer === undefined) continue;
    addGroup(trainer, group);
    totalMs += group.totalRemainingMs;
    while (totalMs > availableMs * capacity * PLANNED_CAPACITY_SHARE) {
      const dropped = dropGroup(all, dropRule);
      if (dropped === undefined) break;
      totalMs -= dropped.totalRemainingMs;
    }
  }
  return new Set(all.flatMap(({ admitted }) => admitted));
}

function createTrainerAdmissions<Work>(
  steps: readonly scheduleTypes.OpenStep<Work>[],
): ReadonlyMap<string, TrainerAdmission<Work>> {
  const trainers = new Map<string, TrainerAdmission<Work>>();
  for (const { trainer, priority, whole, missing } of steps) {
    const known = trainers.get(trainer);
    trainers.set(trainer, {
      priority: Math.min(priority, known?.priority ?? priority),
      wantedGroups: whole + missing + (known?.wantedGroups ?? 0),
      inTimeGroups: whole + (known?.inTimeGroups ?? 0),
      admitted: [],
    });
  }
  return trainers;
}

function addGroup<Work>(
  trainer: TrainerAdmission<Work>,
  group: groupDemands.GroupDemand<Work>,
): void {
  const index = trainer.admitted.findLastIndex((other) =>
    other.totalRemainingMs <= group.totalRemainingMs
  );
  trainer.admitted.splice(index + 1, 0, group);
  trainer.inTimeGroups += 1;
}

function dropGroup<Work>(
  trainers: readonly TrainerAdmission<Work>[],
  dropRule: scheduleTypes.DropRule,
): groupDemands.GroupDemand<Work> | undefined {
  const victim = trainers.filter(({ admitted }) => admitted.length > 0)
    .toSorted((a, b) => compareDropOrder(a, b, dropRule))[0];
  if (victim === undefined) return undefined;
  victim.inTimeGroups -= 1;
  return victim.admitted.pop();
}

/** Sorts first the trainer whose largest group is dropped next. */
function compareDropOrder(
  a: TrainerAdmission<unknown>,
  b: TrainerAdmission<unknown>,
  dropRule: scheduleTypes.DropRule,
): number {
  switch (dropRule) {
    case "largest":
      return getLargestDemandMs(b) - getLargestDemandMs(a) ||
        b.priority - a.priority;
    case "weighed":
      return computeDropWeight(b) - computeDropWeight(a);
  }
}

function getLargestDemandMs(trainer: TrainerAdmission<unknown>): number {
  return trainer.admitted.at(-1)?.totalRemainingMs ?? 0;
}

/**
 * Weights the trainer's largest group by the trainer's share of groups in time
 * and by its priority number. Squaring the share keeps a trainer with large
 * groups from losing all of them.
 */
function computeDropWeight(trainer: TrainerAdmission<unknown>): number {
  return getLargestDemandMs(trainer) * computeInTimeShare(trainer) ** 2 *
    (1 + trainer.priority);
}

function computeInTimeShare(trainer: TrainerAdmission<unknown>): number {
  return trainer.inTimeGroups / Math.max(1, trainer.wantedGroups);
}
