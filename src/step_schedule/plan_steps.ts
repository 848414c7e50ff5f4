import * as admitGroups from "./admit_groups.ts";
import * as computeRequiredSlots from "./compute_required_slots.ts";
import * as groupDemands from "./group_demand.ts";
import type * as scheduleTypes from "./schedule_types.ts";

/**
 * Capacity counts as short above this share of it. Below 1, because length
 * estimates may be too low and slots are freed one at a time.
 */
const SHORTAGE_THRESHOLD = 0.8;
/** Time within which overdue groups should complete, in ms. */
const LATE_GROUP_MS = 2_000;

/** Sort rank of each status; lower ranks start first. */
const STATUS_ORDER: Readonly<Record<scheduleTypes.GroupStatus, number>> = {
  inTime: 0,
  late: 1,
  spare: 2,
};

/**
 * Plans the order in which the waiting items of all open steps start.
 *
 * If the open steps require more slots than there are, ordering items by latest
 * start alone makes all groups complete late together: a step that lacks a fifth
 * of its slots is late as a whole. The "groups" policy instead starts the groups
 * that can complete in time first.
 *
 * @param input Open steps, capacity and current time.
 * @param policy Scheduling policy.
 * @returns Waiting items in start order, with group counts by trainer.
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
 * Tells whether capacity is short for all groups of the open steps, spare ones
 * included. While it is not, no group is deferred: a step ends with whichever
 * groups complete first, which is sooner than waiting for selected ones.
 */
function isCapacityShort(
  groups: readonly groupDemands.GroupDemand<unknown>[],
  { nowMs, capacity }: scheduleTypes.ScheduleInput<unknown>,
): boolean {
  const requiredSlots = computeRequiredSlots.computeSlotDemand(
    groups,
    nowMs,
    LATE_GROUP_MS,
  );
  return requiredSlots > SHORTAGE_THRESHOLD * capacity;
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
    status,
    latestStartMs: step.dueMs - item.remainingMs,
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
