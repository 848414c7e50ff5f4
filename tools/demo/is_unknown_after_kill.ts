import type * as ledgers from "../stand_ins/ledger.ts";

/** A box that was killed without notice. */
export interface Kill {
  readonly target: string;
  readonly atMs: number;
}

/**
 * Whether a call has no answer because the box that had claimed it was killed.
 * Calls that may run once are claimed before they are sent; a box that is killed
 * between the two leaves an outcome that nobody knows, and a further attempt must
 * say so and not run the call.
 *
 * @param call The call with its attempts.
 * @param kills The boxes killed during the run.
 * @returns Whether the missing answer is allowed.
 */
export function isUnknownAfterKill(
  { operation, isAnswered, tries }: ledgers.CallEntry,
  kills: readonly Kill[],
): boolean {
  if (operation !== "sync" || isAnswered) return false;
  const killedIndex = tries.findIndex((attempt) =>
    attempt.outcome === "broken" && hasBeenKilled(attempt, kills)
  );
  const later = killedIndex < 0 ? [] : tries.slice(killedIndex + 1);
  return later.some(({ outcome }) => outcome === "unknown");
}

/** Whether the box of an attempt was killed during the attempt. */
function hasBeenKilled(
  { box, sentMs, endedMs }: ledgers.CallAttempt,
  kills: readonly Kill[],
): boolean {
  return kills.some(({ target, atMs }) =>
    target === box && atMs >= sentMs && atMs <= endedMs
  );
}
