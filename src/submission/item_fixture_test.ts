import type * as submissions from "./submission.ts";

/**
 * Creates an item for model `m` without a scoring call.
 *
 * @param id Id of the item.
 * @param overrides Properties that replace the defaults.
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
