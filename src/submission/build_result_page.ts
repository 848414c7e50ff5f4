import type * as stateMachines from "./submission_state_machine.ts";
import type * as submissions from "./submission.ts";

/** Maximum text of a page, in characters; a longer single result still fits. */
const MAX_PAGE_CHARACTERS = 700_000;

/**
 * Builds a page of results of bounded size.
 *
 * @param record The submission and its results.
 * @param startIndex Index of the first result on the page, from 0.
 * @returns The page; it holds at least one result if there is one at the index.
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
