import * as itemFixtures from "../submission/item_fixture_test.ts";
import type * as submissions from "../submission/mod.ts";
import * as itemTasks from "./item_task.ts";
import * as stepProgress from "./step_progress.ts";

/**
 * Makes the work on the one item of a submission, for tests.
 *
 * @param id Id of the item.
 * @param changes What is different about the submission.
 * @param lengthHint Guess of the tokens that will come out.
 * @returns The work, which waits.
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
