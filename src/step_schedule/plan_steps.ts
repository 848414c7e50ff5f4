import * as admitGroups from "./admit_groups.ts";
import * as computeRequiredSlots from "./compute_required_slots.ts";
import * as groupDemands from "./group_demand.ts";
import type * as scheduleTypes from "./schedule_types.ts";

/**
 * Share of the places from which room counts as short: lengths are guesses, and
 * places come free one at a time.
 */
const SHORTAGE_THRESHOLD = 0.8;
/** Time in which late groups should still be whole, in ms. */
const LATE_GROUP_MS = 2_000;

/** Groups in time go first, those that nobody waits for last. */
const STATUS_ORDER: Readonly<Record<scheduleTypes.GroupStatus, number>> = {
  inTime: 0,
  late: 1,
  spare: 2,
};

/**
 * Plans in which order the waiting items of all open steps get places.
 *
 * Load it answers: open steps that together need more than the engines have. By
 * latest start alone all groups of all steps become whole together, and a step
 * that lacks a fifth of its room is late as a whole. Here those that can be in
 * time go first, whole, and the others follow.
 *
 * @param input Open steps and the room there is.
 * @param policy The way to plan.
 * @returns Waiting items, first to start first.
 */
export function planSteps<Work>(
  input: scheduleTypes.ScheduleInput<Work>,
  policy: scheduleTypes.SchedulePolicy,
): scheduleTypes.StepPlan<Work> {
  switch (policy.kind) {
    case "latestStart":
      return planByLatestStart(input);
    case "groups": {
      const groups = groupDemands.listGroupDemands(input.steps);
      return isCapacityShort(groups, input)
        ? planByGroups(groups, input, policy)
        : planByLatestStart(input);
    }
  }
}

/**
 * Tells whether room is short for the open steps with all of their groups. While
 * it is not, all groups run: which of them are whole first is left to chance, and
 * steps end sooner than if some waited.
 */
function isCapacityShort(
  groups: readonly groupDemands.GroupDemand<unknown>[],
  { nowMs, capacity: places }: scheduleTypes.ScheduleInput<unknown>,
): boolean {
  const requiredSlots = computeRequiredSlots.computeSlotDemand(
    groups,
    nowMs,
    LATE_GROUP_MS,
  );
  return requiredSlots > SHORTAGE_THRESHOLD * places;
}

function planByLatestStart<Work>(
  { steps }: scheduleTypes.ScheduleInput<Work>,
): scheduleTypes.StepPlan<Work> {
  const items = steps.flatMap((step) =>
    step.groups.flatMap((group) => listWaitingItems(step, group, "inTime"))
  );
  return { items: sortItems(items), groupCounts: new Map() };
}

function planByGroups<Work>(
  groups: readonly groupDemands.GroupDemand<Work>[],
  input: scheduleTypes.ScheduleInput<Work>,
  policy: Extract<scheduleTypes.SchedulePolicy, { readonly kind: "groups" }>,
): scheduleTypes.StepPlan<Work> {
  const needed = policy.defersSpare
    ? groups.filter((group) => group.isNeeded)
    : groups;
  const admitted = policy.admits
    ? admitGroups.admitGroups(needed, input, policy.givesWay)
    : new Set(needed);
  const late = needed.filter((group) => !admitted.has(group));
  const spare = policy.defersSpare
    ? groups.filter((group) => !group.isNeeded)
    : [];
  const groupsByStatus = [
    ["inTime", needed.filter((group) => admitted.has(group))],
    ["late", late],
    ["spare", spare],
  ] as const;
  const items = groupsByStatus.flatMap(([status, groups]) =>
    groups.flatMap(({ step, group }) => listWaitingItems(step, group, status))
  );
  return {
    items: sortItems(items),
    groupCounts: countGroups(groupsByStatus),
  };
}

function listWaitingItems<Work>(
  step: scheduleTypes.OpenStep<Work>,
  group: scheduleTypes.OpenGroup<Work>,
  status: scheduleTypes.GroupStatus,
): readonly scheduleTypes.PlannedItem<Work>[] {
  return group.items.filter((item) => item.isWaiting).map((item) => ({
    work: item.work,
    standing: status,
    startByMs: step.dueMs - item.remainingMs,
  }));
}

function sortItems<Work>(
  items: readonly scheduleTypes.PlannedItem<Work>[],
): readonly scheduleTypes.PlannedItem<Work>[] {
  return items.toSorted((a, b) =>
    STATUS_ORDER[a.status] - STATUS_ORDER[b.status] ||
    a.latestStartMs - b.latestStartMs
  );
}

function countGroups<Work>(
  groupsByStatus: readonly (readonly [
    scheduleTypes.GroupStatus,
    readonly groupDemands.GroupDemand<Work>[],
  ])[],
): scheduleTypes.StepPlan<Work>["groupCounts"] {
  const counts = new Map<string, Record<scheduleTypes.GroupStatus, number>>();
  for (const [status, groups] of groupsByStatus) {
    for (const { step } of groups) {
      const trainerCounts = counts.get(step.trainer) ??
        { inTime: 0, late: 0, spare: 0 };
      trainerCounts[status] += 1;
      counts.set(step.trainer, trainerCounts);
    }
  }
  return counts;
}
