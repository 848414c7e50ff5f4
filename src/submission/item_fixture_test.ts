import type * as submissions from "./submission.ts";

/**
 * Makes an item of model `m` without a scoring call, for tests.
 *
 * @param id Its id.
 * @param overrides What is different about it.
 * @returns The item.
 */
export function createItem(
  id: string,
  overrides: Partial<submissions.SubmissionItem> = {},
): submissions.SubmissionItem {
  return {
    id,
    path: "/run",
    headers: {},
    body: "",
    tokens: 1,
    group: undefined,
    lengthHint: undefined,
    model: "m",
    scoring: undefined,
    ...overrides,
  };
}
