import * as itemFixtures from "../submission/item_fixture_test.ts";
import type * as submissions from "../submission/mod.ts";
import * as itemTasks from "./item_task.ts";
import * as stepProgress from "./step_progress.ts";

/**
 * Creates the task of a submission with one item, for tests.
 *
 * @param id Id of the item.
 * @param changes Properties of the submission that replace the defaults.
 * @param lengthHint Expected number of output tokens.
 * @returns The task, in the waiting phase.
 */
export function createTask(
  id: string,
  changes: Partial<submissions.Submission> = {},
  lengthHint?: number,
): itemTasks.ItemTask {
  const item = itemFixtures.createItem(id, { tokens: 10, lengthHint });
  const submission: submissions.Submission = {
    id: "s",
    model: "m",
    step: 0,
    minimumVersion: 1,
    desired: undefined,
    items: [item],
    sender: { kind: "unasked" },
    acceptedAtMs: 0,
    terms: {
      host: "h",
      service: "lm",
      attempts: 2,
      keepMs: 1,
      targetCompletionMs: 100,
      isSingleVersion: false,
    },
    ...changes,
  };
  const step = new stepProgress.StepProgress(submission, new Set());
  return new itemTasks.ItemTask(submission, item, step, 0);
}
