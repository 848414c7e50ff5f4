import type * as submissions from "./submission.ts";

/**
 * Creates a step of model `m` with the given items.
 *
 * @param id Id of the submission.
 * @param items Its items, all of which the trainer needs.
 * @param overrides Properties that replace the defaults.
 * @returns The submission.
 */
export function createSubmission(
  id: string,
  items: readonly submissions.SubmissionItem[],
  overrides: Partial<submissions.Submission> = {},
): submissions.Submission {
  return {
    id,
    model: "m",
    step: 0,
    minimumVersion: 1,
    desired: items.length,
    items,
    sender: { kind: "unasked" },
    acceptedAtMs: 0,
    terms: {
      host: "a.example",
      service: "lm",
      attempts: 2,
      keepMs: 60_000,
      targetCompletionMs: 7_500,
      isSingleVersion: false,
    },
    ...overrides,
  };
}
