import * as groupDemands from "./group_demand.ts";
import type * as scheduleTypes from "./schedule_types.ts";

/**
 * Counts the runs that must go on at once, at the usual speed, for every group
 * that a trainer waits for to be whole in time.
 *
 * Load it answers: steps that overlap. What is due first must fit into the time
 * until then, and together with it all that is due later.
 *
 * @param situation Open steps.
 * @param minAvailableMs Time that late groups are given, in ms; more places would come
 *   too late for them.
 * @returns The places.
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
 * Counts the same for groups that are described already.
 *
 * @param demands Groups by due time.
 * @param nowMs The time of the situation, in ms.
 * @param minAvailableMs Time that late groups are given, in ms.
 * @returns The places.
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
