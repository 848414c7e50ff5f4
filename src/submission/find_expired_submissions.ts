import type * as stateMachines from "./submission_state_machine.ts";

/** How long submissions are kept. */
export interface RetentionPolicy {
  readonly nowMs: number;
  /** How long results stay readable after the submission, in ms. */
  readonly resultRetentionMs: number;
  /** How long this process has known a submission, by its monotonic clock, in ms. */
  readonly getAgeMs: (id: string) => number;
}

/** Kept longer than promised, for clocks that differ, in ms. */
const CLOCK_SKEW_MARGIN_MS = 15_000;

/**
 * Finds submissions that nobody may ask for any more: ended ones whose results
 * were promised for long enough, and those that were never ended though all
 * their items could have been given up as long ago.
 *
 * @param records All submissions.
 * @param policy Now, and how long to keep them; wall time in ms.
 * @returns Their ids.
 */
export function findExpiredSubmissions(
  records: readonly stateMachines.SubmissionRecord[],
  policy: RetentionPolicy,
): readonly string[] {
  return records.filter(({ submission, isEnded }) => {
    const processingMs = isEnded ? 0 : submission.terms.keepMs;
    const retentionMs = processingMs + policy.resultRetentionMs;
    // The clocks of two boxes may differ by minutes; a leader whose clock was
    // ahead forgot what had just been accepted.
    if (policy.getAgeMs(submission.id) < retentionMs) return false;
    const expiresAtMs = submission.acceptedAtMs + retentionMs +
      CLOCK_SKEW_MARGIN_MS;
    return policy.nowMs > expiresAtMs;
  }).map(({ submission }) => submission.id);
}
