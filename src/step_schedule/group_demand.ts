import type * as scheduleTypes from "./schedule_types.ts";

/** A group with what it asks of the engines. */
export interface GroupDemand<Work> {
  readonly step: scheduleTypes.OpenStep<Work>;
  readonly group: scheduleTypes.OpenGroup<Work>;
  /** Time that its items are expected to run still, added up, in ms. */
  readonly totalRemainingMs: number;
  /** Longest time that one of its items is expected to run still, in ms. */
  readonly longestRemainingMs: number;
  /** Whether its trainer waits for it; the others are spare. */
  readonly isNeeded: boolean;
}

/**
 * Describes the groups of all steps: steps by their due time, and in a step
 * those that are nearest to being whole first.
 *
 * @param steps Open steps.
 * @returns The groups in that order.
 */
export function listGroupDemands<Work>(
  steps: readonly scheduleTypes.OpenStep<Work>[],
): readonly GroupDemand<Work>[] {
  return steps.toSorted((a, b) => a.dueMs - b.dueMs).flatMap((step) => {
    const groups = step.groups.map((group) => computeDemand(step, group))
      .toSorted(compareDemands);
    return groups.map((measured, index) => ({
      ...measured,
      isNeeded: index < step.missing || measured.group.isCarried,
    }));
  });
}

/** Carried groups come first: the trainer waits for them whatever else is whole. */
function compareDemands(
  a: Pick<GroupDemand<unknown>, "group" | "totalRemainingMs">,
  b: Pick<GroupDemand<unknown>, "group" | "totalRemainingMs">,
): number {
  if (a.group.isCarried !== b.group.isCarried) {
    return a.group.isCarried ? -1 : 1;
  }
  return a.totalRemainingMs - b.totalRemainingMs;
}

function computeDemand<Work>(
  step: scheduleTypes.OpenStep<Work>,
  group: scheduleTypes.OpenGroup<Work>,
): Omit<GroupDemand<Work>, "isNeeded"> {
  let workMs = 0;
  let longestMs = 0;
  for (const { remainingMs } of group.items) {
    workMs += remainingMs;
    longestMs = Math.max(longestMs, remainingMs);
  }
  return {
    step,
    group,
    totalRemainingMs: workMs,
    longestRemainingMs: longestMs,
  };
}
