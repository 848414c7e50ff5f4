import type * as machines from "./submission_machine.ts";

/** How long submissions are kept. */
export interface KeepTimes {
  readonly nowMs: number;
  /** How long results stay readable after the submission, in ms. */
  readonly resultsKeepMs: number;
  /** How long this process has known a submission, by its monotonic clock, in ms. */
  readonly getKnownMs: (id: string) => number;
}

/** Kept longer than promised, for clocks that differ, in ms. */
const CLOCK_SLACK_MS = 15_000;

/**
 * Finds submissions that nobody may ask for any more: ended ones whose results
 * were promised for long enough, and those that were never ended though all
 * their items could have been given up as long ago.
 *
 * @param records All submissions.
 * @param times Now, and how long to keep them; wall time in ms.
 * @returns Their ids.
 */
export function findForgettable(
  records: readonly machines.SubmissionRecord[],
  times: KeepTimes,
): readonly string[] {
  return records.filter(({ submission, isEnded }) => {
    const openMs = isEnded ? 0 : submission.terms.keepMs;
    const keptMs = openMs + times.resultsKeepMs;
    // The clocks of two boxes may differ by minutes; a leader whose clock was
    // ahead forgot what had just been accepted.
    if (times.getKnownMs(submission.id) < keptMs) return false;
    const untilMs = submission.acceptedAtMs + keptMs + CLOCK_SLACK_MS;
    return times.nowMs > untilMs;
  }).map(({ submission }) => submission.id);
}
