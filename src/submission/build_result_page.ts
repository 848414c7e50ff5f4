import type * as stateMachines from "./submission_state_machine.ts";
import type * as submissions from "./submission.ts";

/** Text of one page at most, in characters, unless one result is longer. */
const MAX_PAGE_CHARACTERS = 700_000;

/**
 * Cuts a page of results.
 *
 * @param record The submission.
 * @param startIndex Position of the first result wanted.
 * @returns At least one result where there is one, and the next position.
 */
export function buildResultPage(
  record: stateMachines.SubmissionRecord,
  startIndex: number,
): submissions.ResultPage {
  const results: submissions.ItemResult[] = [];
  let size = 0;
  for (const result of record.results.slice(startIndex)) {
    size += result.text.length;
    if (results.length > 0 && size > MAX_PAGE_CHARACTERS) break;
    results.push(result);
  }
  return {
    total: record.submission.items.length,
    next: startIndex + results.length,
    results,
    isEnded: record.isEnded,
  };
}
