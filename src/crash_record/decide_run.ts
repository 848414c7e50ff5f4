import * as crashRecords from "./crash_record.ts";

/**
 * Servers that one piece of work may end in a row. Two may be chance: work that
 * runs beside what ends a server loses its own server too, and its next one if
 * both go there again.
 */
export const MAX_CONSECUTIVE_CRASHES = 3;
/** Servers after which work waits before it may end another one. */
const CRASHES_BEFORE_PAUSE = 2;
/**
 * Pause before the last run that is allowed, in ms: longer than a server takes
 * to be back (3.2 s seen), so that work does not end all servers of a service
 * before the first of them is back.
 */
const PAUSE_MS = 5_000;
/** When to come back with work that is held back, in ms. */
const BLOCKED_RETURN_MS = 60_000;

/** What may become of a piece of work. */
export type RunDecision =
  /** Nothing is known against it. */
  | { readonly kind: "free" }
  /** Servers ended under it: one run more, if the leader of the stores agrees. */
  | { readonly kind: "suspect"; readonly ended: number }
  /** It runs nowhere until then; `returnMs` from now. */
  | {
    readonly kind: "heldBack";
    readonly ended: number;
    readonly returnMs: number;
  };

const ALLOWED: RunDecision = { kind: "free" };

/**
 * Judges work by what ended under it.
 *
 * @param record What is known; undefined for nothing.
 * @param sinceMs Time since the last server was known to have ended, in ms.
 * @returns What may become of it.
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
