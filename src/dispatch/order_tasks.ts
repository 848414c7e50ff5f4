import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimates from "./length_estimates.ts";

/**
 * Orders waiting items: earlier due submissions first, and within one those
 * that are expected to run longest, since they decide when a step is whole.
 *
 * @param tasks The waiting items.
 * @param lengths How long items are expected to run.
 * @returns The same items, first to start first.
 */
export function orderTasks(
  tasks: readonly itemTasks.ItemTask[],
  lengths: lengthEstimates.LengthEstimates,
): readonly itemTasks.ItemTask[] {
  return tasks
    .map((task) => ({ task, remaining: lengths.estimateRemaining(task) }))
    .toSorted((a, b) =>
      a.task.getDueMs() - b.task.getDueMs() || b.remaining - a.remaining
    )
    .map(({ task }) => task);
}
