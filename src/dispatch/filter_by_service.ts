import type * as itemTasks from "./item_task.ts";

/** Returns the tasks whose items run at a service. */
export function filterByService(
  service: string,
  tasks: readonly itemTasks.ItemTask[],
): readonly itemTasks.ItemTask[] {
  return tasks.filter((task) => task.submission.terms.service === service);
}
