import type * as jobs from "./forward_job.ts";

/**
 * Maximum fraction of the time to the deadline that a request may be queued. The
 * rest is left for its run, or for a retry by its caller.
 */
const MAX_WAIT_FRACTION = 0.5;

/**
 * Computes until when a request may be queued for a free slot. It is not queued
 * beyond the point where the fastest server could still meet its latency target,
 * because a slot given to a late request delays others as well.
 *
 * @param job The request.
 * @param nowMs Time at which it is queued, in monotonic ms.
 * @param listMeanMs Lists the mean request duration of each server, in ms.
 * @returns The end of the wait, in monotonic ms.
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
