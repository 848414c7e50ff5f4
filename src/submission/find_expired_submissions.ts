import type * as stateMachines from "./submission_state_machine.ts";

/** Retention of submissions and their results. */
export interface RetentionPolicy {
  /** Current wall time, in ms since the epoch. */
  readonly nowMs: number;
  /** Time for which results stay readable after processing, in ms. */
  readonly resultRetentionMs: number;
  /** Monotonic time since this process first saw a submission, in ms. */
  readonly getAgeMs: (id: string) => number;
}

/** Extra retention that covers clock skew between boxes, in ms. */
const CLOCK_SKEW_MARGIN_MS = 15_000;

/**
 * Finds submissions that can be deleted: ended ones after the result retention
 * time, and open ones after the time in which all items are completed or given
 * up plus the result retention time.
 *
 * @param records All submissions.
 * @param policy Current time, ages and retention time.
 * @returns Ids of the expired submissions.
 */
export function findExpiredSubmissions(
  records: readonly stateMachines.SubmissionRecord[],
  policy: RetentionPolicy,
): readonly string[] {
  return records.filter(({ submission, isEnded }) => {
    const processingMs = isEnded ? 0 : submission.terms.keepMs;
    const retentionMs = processingMs + policy.resultRetentionMs;
    // Wall clocks of boxes may differ by minutes: a leader whose clock is ahead
    // must not delete submissions that were just accepted.
    if (policy.getAgeMs(submission.id) < retentionMs) return false;
    const expiresAtMs = submission.acceptedAtMs + retentionMs +
      CLOCK_SKEW_MARGIN_MS;
    return policy.nowMs > expiresAtMs;
  }).map(({ submission }) => submission.id);
}
