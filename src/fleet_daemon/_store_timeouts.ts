import type * as replicaGroups from "../replica_group/mod.ts";

/** Name of the group that holds the submissions. */
export const STORES_GROUP = "stores";
/** Timeouts of calls to the leader of the stores, in ms. */
const STORE_TIMEOUTS = { totalMs: 2_500, tryMs: 1_200 };
/** Time that a call to the stores usually needs at most, in ms. */
export const STORE_CALL_MS = 100;

/**
 * Limits the timeouts of a call to the stores.
 *
 * @param remainingMs Time by which the call must have ended, in ms from now.
 * @param tryMs Timeout of one attempt, in ms.
 */
export function limitTimeouts(
  remainingMs: number,
  tryMs = STORE_TIMEOUTS.tryMs,
): replicaGroups.CallTimeouts {
  return {
    totalMs: Math.min(Math.max(STORE_TIMEOUTS.totalMs, tryMs), remainingMs),
    tryMs: Math.min(tryMs, remainingMs),
  };
}
