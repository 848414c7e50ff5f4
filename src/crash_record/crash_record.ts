import type * as registry from "../registry/mod.ts";
import type * as workDigests from "./work_digest.ts";

/** Most server lifetimes that a record keeps. */
const MAX_LIFETIMES = 16;

/**
 * Servers that crashed while they ran one piece of work. The sets of ended and
 * cleared lifetimes only grow, so records of one digest merge in any order.
 */
export interface CrashRecord {
  readonly digest: workDigests.WorkDigest;
  /** Client account that sent the work; empty for requests without one. */
  readonly account: string;
  readonly service: string;
  /** Request path, truncated for display to operators. */
  readonly target: string;
  /** Lifetimes of servers that crashed while they ran the work, sorted. */
  readonly ended: readonly registry.LifetimeKey[];
  /** Subset of `ended` that a later successful run cleared, sorted. */
  readonly cleared: readonly registry.LifetimeKey[];
  /** Wall time of the latest crash on the box that detected it, in ms. */
  readonly notedAtMs: number;
}

/**
 * Counts the servers that the work crashed since its last successful run.
 *
 * @param record The record of the work, or undefined if there is none.
 * @returns The number of servers.
 */
export function countConsecutiveCrashes(
  record: CrashRecord | undefined,
): number {
  if (record === undefined) return 0;
  const { ended, cleared } = record;
  return ended.filter((lifetime) => !cleared.includes(lifetime)).length;
}

/**
 * Merges two records of one piece of work. The operation is commutative,
 * associative and idempotent.
 *
 * @param left A record.
 * @param right Another record with the same digest.
 * @returns The merged record.
 */
export function mergeRecords(
  left: CrashRecord,
  right: CrashRecord,
): CrashRecord {
  // Truncates by key alone so that merge order doesn't matter. Dropping cleared
  // lifetimes first could lose a cleared mark and count its server again.
  const ended = mergeSorted(left.ended, right.ended).slice(-MAX_LIFETIMES);
  const cleared = mergeSorted(left.cleared, right.cleared);
  return {
    ...left,
    ended,
    cleared: cleared.filter((lifetime) => ended.includes(lifetime)),
    notedAtMs: Math.max(left.notedAtMs, right.notedAtMs),
  };
}

/**
 * Creates a string that identifies the content of a record except its time.
 *
 * @param record The record.
 * @returns A line; records with equal content have equal lines.
 */
export function createRecordKey(record: CrashRecord): string {
  const { digest, ended, cleared } = record;
  return `${digest} ${ended.join(",")} ${cleared.join(",")}`;
}

function mergeSorted(
  left: readonly string[],
  right: readonly string[],
): readonly string[] {
  return [...new Set([...left, ...right])].toSorted();
}
