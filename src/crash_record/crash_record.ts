import type * as registry from "../registry/mod.ts";
import type * as workDigests from "./work_digest.ts";

/** Most crashes that a record keeps. */
const MAX_CRASHES = 16;
/** Separates the lifetime in a crash key from its number; not part of an id. */
const NUMBER_SEPARATOR = " #";

/**
 * Identifies one crash: the lifetime of the server, and a number if the server
 * that listens at its address crashed again.
 */
export type CrashKey = string;

/**
 * Servers that crashed while they ran one piece of work. The sets of ended and
 * cleared crashes only grow, so records of one digest merge in any order.
 */
export interface CrashRecord {
  readonly digest: workDigests.WorkDigest;
  /** Client account that sent the work; empty for requests without one. */
  readonly account: string;
  readonly service: string;
  /** Request path, truncated for display to operators. */
  readonly target: string;
  /** Crashes of servers while they ran the work, sorted. */
  readonly ended: readonly CrashKey[];
  /** Subset of `ended` that a later successful run cleared, sorted. */
  readonly cleared: readonly CrashKey[];
  /** Wall time of the latest crash on the box that detected it, in ms. */
  readonly notedAtMs: number;
}

/**
 * Lists the crashes under the work since its last successful run.
 *
 * @param record The record of the work, or undefined if there is none.
 * @returns The crashes, sorted.
 */
export function listConsecutiveCrashes(
  record: CrashRecord | undefined,
): readonly CrashKey[] {
  if (record === undefined) return [];
  const { ended, cleared } = record;
  return ended.filter((crash) => !cleared.includes(crash));
}

/**
 * Counts the crashes under the work since its last successful run.
 *
 * @param record The record of the work, or undefined if there is none.
 * @returns The number of crashes.
 */
export function countConsecutiveCrashes(
  record: CrashRecord | undefined,
): number {
  return listConsecutiveCrashes(record).length;
}

/**
 * Creates the key of the crash that a run may cause. Servers are known by late
 * reports for some time after they crashed, and another one may listen at their
 * address by then: a crash of a lifetime that had crashed before the run began is
 * one of its successor, and counts by itself.
 *
 * @param record The record of the work when the run begins, if there is one.
 * @param lifetime The lifetime that the run is sent to.
 * @returns The key; equal for all runs that one crash ends.
 */
export function createCrashKey(
  record: CrashRecord | undefined,
  lifetime: registry.LifetimeKey,
): CrashKey {
  const ended = record?.ended ?? [];
  let key: CrashKey = lifetime;
  for (let number = 2; ended.includes(key); number += 1) {
    key = `${lifetime}${NUMBER_SEPARATOR}${number}`;
  }
  return key;
}

/**
 * Returns the lifetime that a run was sent to when the crash ended it.
 *
 * @param key The key of the crash.
 * @returns The lifetime.
 */
export function getCrashedLifetime(key: CrashKey): registry.LifetimeKey {
  const [lifetime = key] = key.split(NUMBER_SEPARATOR);
  return lifetime;
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
  const ended = mergeSorted(left.ended, right.ended).slice(-MAX_CRASHES);
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
