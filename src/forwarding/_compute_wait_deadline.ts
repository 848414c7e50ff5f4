import type * as jobs from "./forward_job.ts";

/**
 * Share of the time that a request has left for which it may wait for a place at
 * most; the rest is for its run, or for its caller to come back. It waits no
 * longer than it can still be answered within its target either: a place given
 * to one that is late anyway makes one more late. Waits of half the time left
 * served 0.04 to 0.08 more of a load above the capacity, and 0.08 to 0.14 fewer
 * within their target.
 */
const MAX_WAIT_FRACTION = 0.5;

/**
 * Says until when a request may wait for a place.
 *
 * @param job The request.
 * @param nowMs When it begins to wait, in monotonic ms.
 * @param listMeanMs Lists how long each server takes for a request, in ms.
 * @returns Monotonic ms.
 */
export function computeWaitDeadline(
  job: Pick<jobs.ForwardJob, "deadlineAtMs" | "targetAtMs">,
  nowMs: number,
  listMeanMs: () => readonly number[],
): number {
  const leftMs = job.deadlineAtMs - nowMs;
  const runMs = Math.min(...listMeanMs());
  return Math.min(
    nowMs + leftMs * MAX_WAIT_FRACTION,
    Math.max(nowMs, job.targetAtMs - runMs),
  );
}
