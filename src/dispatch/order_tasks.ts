import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";

/**
 * Sorts items by the latest time at which each must start to meet the due time
 * of its submission. Long items come before short ones that are due at the same
 * time, as they decide when the submission is complete; short items of an earlier
 * submission can wait for long ones of a later one without delaying either.
 *
 * @param tasks The items.
 * @param lengths Estimates of the items' remaining events.
 * @param intervalMs Expected time between events, in ms.
 * @returns The same items, the most urgent first.
 */
export function orderTasks(
  tasks: readonly itemTasks.ItemTask[],
  lengths: lengthEstimators.LengthEstimator,
  intervalMs: number,
): readonly itemTasks.ItemTask[] {
  return tasks
    .map((task) => {
      const runMs = lengths.estimateRemaining(task) * intervalMs;
      return { task, latestStartMs: task.getDueMs() - runMs };
    })
    .toSorted((a, b) => a.latestStartMs - b.latestStartMs)
    .map(({ task }) => task);
}
