import * as groupDemands from "./group_demand.ts";
import type * as scheduleTypes from "./schedule_types.ts";

/**
 * Computes how many slots of usual speed are required for every group that a
 * trainer waits for to complete before its step is due.
 *
 * Steps may overlap: for each due time, all groups due by then must fit into the
 * time that is left until then.
 *
 * @param input Current time and open steps.
 * @param minAvailableMs Lower bound for the time available to a group, in ms;
 *   applies to groups that are due sooner or overdue.
 * @returns Number of slots, not rounded.
 */
export function computeRequiredSlots(
  { nowMs, steps }: scheduleTypes.ScheduleInput<unknown>,
  minAvailableMs: number,
): number {
  const demands = groupDemands.listGroupDemands(steps);
  return computeSlotDemand(
    demands.filter(({ isNeeded }) => isNeeded),
    nowMs,
    minAvailableMs,
  );
}

/**
 * Computes how many slots of usual speed are required for groups to complete
 * before their steps are due.
 *
 * @param demands Groups by ascending due time.
 * @param nowMs Current time on the clock of the due times, in ms.
 * @param minAvailableMs Lower bound for the time available to a group, in ms.
 * @returns Number of slots, not rounded.
 */
export function computeSlotDemand(
  demands: readonly groupDemands.GroupDemand<unknown>[],
  nowMs: number,
  minAvailableMs: number,
): number {
  let totalMs = 0;
  let slots = 0;
  for (const demand of demands) {
    totalMs += demand.totalRemainingMs;
    const availableMs = Math.max(minAvailableMs, demand.step.dueMs - nowMs, 1);
    slots = Math.max(slots, totalMs / availableMs);
  }
  return slots;
}
