import * as crashRecords from "./crash_record.ts";

/**
 * Consecutive server crashes after which work is blocked. Work that merely shared
 * a server with crashing work can see two crashes by coincidence.
 */
export const MAX_CONSECUTIVE_CRASHES = 3;
/** Consecutive crashes after which work must pause before its next run. */
const CRASHES_BEFORE_PAUSE = 2;
/**
 * Pause before the last allowed run, in ms. Longer than a server restart, which
 * takes some 3 s, so that work can't take down all servers of a service at once.
 */
const PAUSE_MS = 5_000;
/** Retry delay that callers of blocked work are given, in ms. */
export const BLOCKED_RETURN_MS = 60_000;

/** Whether a piece of work may run. */
export type RunDecision =
  /** No uncleared crashes are known; the work runs without a grant. */
  | { readonly kind: "free" }
  /** The work crashed servers and needs a grant from the store boxes' leader. */
  | { readonly kind: "suspect"; readonly ended: number }
  /** The work must not run; the caller may retry after `returnMs`. */
  | {
    readonly kind: "heldBack";
    readonly ended: number;
    readonly returnMs: number;
  };

const ALLOWED: RunDecision = { kind: "free" };

/**
 * Decides from its crash record whether a piece of work may run.
 *
 * @param record The record of the work, or undefined if there is none.
 * @param sinceMs Time since the latest crash, in ms.
 * @returns The decision.
 */
export function decideRun(
  record: crashRecords.CrashRecord | undefined,
  sinceMs: number,
): RunDecision {
  const ended = crashRecords.countConsecutiveCrashes(record);
  if (ended === 0) return ALLOWED;
  if (ended >= MAX_CONSECUTIVE_CRASHES) {
    return { kind: "heldBack", ended, returnMs: BLOCKED_RETURN_MS };
  }
  const pauseMs = PAUSE_MS - sinceMs;
  if (ended < CRASHES_BEFORE_PAUSE || pauseMs <= 0) {
    return { kind: "suspect", ended };
  }
  return { kind: "heldBack", ended, returnMs: pauseMs };
}
