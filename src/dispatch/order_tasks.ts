import type * as itemTasks from "./item_task.ts";

/**
 * Orders waiting items: earlier due submissions first, and within one those
 * that are expected to run longest, since they decide when a step is whole.
 *
 * @param tasks The waiting items.
 * @returns The same items, first to start first.
 */
export function orderTasks(
  tasks: readonly itemTasks.ItemTask[],
): readonly itemTasks.ItemTask[] {
  return tasks.toSorted((a, b) =>
    a.getDueMs() - b.getDueMs() || estimateLength(b) - estimateLength(a)
  );
}

/** Tokens still expected of an item, by its hint and what has come. */
function estimateLength(task: itemTasks.ItemTask): number {
  return task.item.lengthHint ?? task.item.tokens;
}
