import type * as groupDemands from "./group_demand.ts";
import type * as scheduleTypes from "./schedule_types.ts";

/**
 * Share of the places that plans count on: lengths are guesses, and engines stand
 * still while they load weights. What this leaves free goes to late groups.
 */
const PLANNED_CAPACITY_SHARE = 0.75;

/**
 * How many times longer than what is left an item may be expected to run before
 * its group counts as late. Lengths are guesses, right in the median only: one
 * half as long is common, and a group that waits for no reason holds up its
 * trainer.
 */
const MAX_OVERRUN_FACTOR = 2;

/** Groups of a trainer that are in the plan so far. */
interface TrainerAdmission<Work> {
  readonly priority: number;
  /** Groups that it waits for, whole ones among them. */
  readonly wantedGroups: number;
  /** Whole groups and those planned to be in time. */
  inTimeGroups: number;
  /** Groups planned to be in time, least work first. */
  readonly admitted: groupDemands.GroupDemand<Work>[];
}

/**
 * Picks the groups that can be whole in time. They are taken by due time; where
 * the work of all of them would end too late, one gives way, whichever step it
 * is of (the rule of Moore and Hodgson for the fewest late jobs, with the places
 * of all engines as one machine).
 *
 * @param groups Groups that trainers wait for, by due time.
 * @param situation The time and the room there is.
 * @param dropRule Which group gives way.
 * @returns Those that can be in time.
 */
export function admitGroups<Work>(
  groups: readonly groupDemands.GroupDemand<Work>[],
  { nowMs, capacity: places, steps }: scheduleTypes.ScheduleInput<Work>,
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
    while (totalMs > availableMs * places * PLANNED_CAPACITY_SHARE) {
      const dropped = dropGroup(all, dropRule);
      if (dropped === undefined) break;
      totalMs -= dropped.totalRemainingMs;
    }
  }
  return new Set(all.flatMap(({ admitted: planned }) => planned));
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
  const victim = trainers.filter(({ admitted: planned }) => planned.length > 0)
    .toSorted((a, b) => compareDropOrder(a, b, dropRule))[0];
  if (victim === undefined) return undefined;
  victim.inTimeGroups -= 1;
  return victim.admitted.pop();
}

/** Compares trainers; the one that gives way comes first. */
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
 * Work that its largest group takes from the others, less for a trainer that
 * has few groups in time, more for one whose route is less urgent. The share
 * counts twice over: without it the trainer with the largest groups starves.
 */
function computeDropWeight(trainer: TrainerAdmission<unknown>): number {
  return getLargestDemandMs(trainer) * computeInTimeShare(trainer) ** 2 *
    (1 + trainer.priority);
}

function computeInTimeShare(trainer: TrainerAdmission<unknown>): number {
  return trainer.inTimeGroups / Math.max(1, trainer.wantedGroups);
}
