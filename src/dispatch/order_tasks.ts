import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";

/**
 * Orders items by when each must start at the latest, so that its
 * submission is done when it is due. The longest items of a submission come
 * first, as they decide when it is whole; short ones of an earlier submission
 * can wait for long ones of a later one without delaying either.
 *
 * @param tasks The items.
 * @param lengths How long items are expected to run.
 * @param intervalMs Expected time between events, in ms.
 * @returns The same items, first to start first.
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
