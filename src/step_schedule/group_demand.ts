import type * as scheduleTypes from "./schedule_types.ts";

/** An open group and the engine time that it still requires. */
export interface GroupDemand<Work> {
  readonly step: scheduleTypes.OpenStep<Work>;
  readonly group: scheduleTypes.OpenGroup<Work>;
  /** Sum of the expected remaining run times of its items, in ms. */
  readonly totalRemainingMs: number;
  /** Longest expected remaining run time of an item, in ms. */
  readonly longestRemainingMs: number;
  /** Whether the trainer waits for this group; false for a spare group. */
  readonly isNeeded: boolean;
}

/**
 * Lists the demands of the groups of all steps.
 *
 * @param steps Open steps.
 * @returns Demands by ascending due time of the step; within a step carried
 *   groups come first, then those with the least remaining time.
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

/** Sorts carried groups first, then by ascending total remaining time. */
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
  let totalRemainingMs = 0;
  let longestRemainingMs = 0;
  for (const { remainingMs } of group.items) {
    totalRemainingMs += remainingMs;
    longestRemainingMs = Math.max(longestRemainingMs, remainingMs);
  }
  return { step, group, totalRemainingMs, longestRemainingMs };
}
