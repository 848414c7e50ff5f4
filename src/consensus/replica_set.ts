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
 * Reports whether two voter sets differ by at most one replica, so that each
 * quorum of one overlaps with each quorum of the other.
 *
 * @param before Voters before the change.
 * @param after Voters after the change.
 * @returns Whether the change is safe without joint consensus.
 */
export function isSingleVoterChange(
  before: readonly string[],
  after: readonly string[],
): boolean {
  const added = after.filter((id) => !before.includes(id)).length;
  const removed = before.filter((id) => !after.includes(id)).length;
  return after.length > 0 && added + removed <= 1;
}
