import type * as replicaLogs from "./replica_log.ts";

/** A command that changes the voters; takes effect when it is appended. */
export interface ReplicaSetCommand {
  readonly kind: "replicaSet";
  readonly voters: readonly string[];
}

/** The voters in force from a log entry on. */
export interface ReplicaSet {
  readonly index: number;
  readonly voters: readonly string[];
}

/**
 * Parses the replica set of a log entry.
 *
 * @param entry The entry.
 * @returns The set, or undefined if the entry holds another command.
 */
export function parseReplicaSet(
  entry: replicaLogs.Entry,
): ReplicaSet | undefined {
  const { command, index } = entry;
  if (typeof command !== "object" || command === null) return undefined;
  const { kind, voters } = command as Partial<ReplicaSetCommand>;
  if (kind !== "replicaSet" || voters === undefined) return undefined;
  return { index, voters };
}

/**
 * Finds the replica set in force after an entry.
 *
 * @param log The log.
 * @param index The entry's index; the end of the log by default.
 * @returns The newest set at or before the index, or undefined if the log names
 * none.
 */
export function findReplicaSet(
  log: replicaLogs.ReplicaLog,
  index = Number.POSITIVE_INFINITY,
): ReplicaSet | undefined {
  return log.replicaSets.findLast((set) => set.index <= index);
}

/**
 * Reports whether each quorum of one set overlaps with each quorum of another in a
 * replica that can vote, so that the one may follow on the other.
 *
 * @param before Voters before the change.
 * @param after Voters after the change.
 * @param voteless Replicas that are certain to count in no quorum.
 * @returns Whether the change is safe without joint consensus.
 */
export function hasQuorumOverlap(
  before: readonly string[],
  after: readonly string[],
  voteless: readonly string[],
): boolean {
  if (after.length === 0) return false;
  const all = new Set([...before, ...after]);
  const able = [...all].filter((id) => !voteless.includes(id));
  return countQuorum(before) + countQuorum(after) > able.length;
}

/** Computes the size of a majority of `count` boxes. */
export function computeMajority(count: number): number {
  return Math.floor(count / 2) + 1;
}

/**
 * Counts the voters that form a majority.
 *
 * @param voters All voters.
 * @returns The size of a quorum.
 */
export function countQuorum(voters: readonly string[]): number {
  return computeMajority(voters.length);
}
