import type * as registry from "../registry/mod.ts";
import type * as workDigests from "./work_digest.ts";

/** Lifetimes that a record holds at most; three are enough to hold work back. */
const MAX_LIFETIMES = 16;

/**
 * What the fleet knows of one piece of work under which servers ended. Records of
 * one digest merge in any order, however often: what ended and what was cleared
 * only grow.
 */
export interface CrashRecord {
  readonly digest: workDigests.WorkDigest;
  /** Client account that sent it; empty where none did. */
  readonly account: string;
  readonly service: string;
  /** Front of the path, for operators. */
  readonly target: string;
  /** Starts of servers that ended while they ran it, sorted. */
  readonly ended: readonly registry.LifetimeKey[];
  /** Those of them after which a server ran it to its end, sorted. */
  readonly cleared: readonly registry.LifetimeKey[];
  /** When a server ended under it last, in wall ms of the box that saw it. */
  readonly notedAtMs: number;
}

/**
 * Counts the servers that ended under the work in a row, with no end of a run
 * between them.
 *
 * @param record What is known; undefined for nothing.
 * @returns Their number.
 */
export function countConsecutiveCrashes(
  record: CrashRecord | undefined,
): number {
  if (record === undefined) return 0;
  const { ended, cleared } = record;
  return ended.filter((lifetime) => !cleared.includes(lifetime)).length;
}

/**
 * Joins two records of one piece of work.
 *
 * @param left One record.
 * @param right Another one.
 * @returns What both together say.
 */
export function mergeRecords(
  left: CrashRecord,
  right: CrashRecord,
): CrashRecord {
  // The last ones by name stay, cleared or not: a choice that is the same in any
  // order of merges. By what is cleared, a mark that was dropped would be lost,
  // and its server counted again.
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
 * Describes what a record says, but for when.
 *
 * @param record The record.
 * @returns A line; two records with the same line say the same.
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
