import type * as replicaLogs from "./replica_log.ts";

/** A log entry's command that changes who votes; it holds once it is appended. */
export interface ReplicaSetCommand {
  readonly kind: "replicaSet";
  readonly voters: readonly string[];
}

/** The voters from one log entry on. */
export interface ReplicaSet {
  readonly index: number;
  readonly voters: readonly string[];
}

/**
 * Reads the replica set that an entry brings.
 *
 * @param entry The entry.
 * @returns The set, or undefined for any other command.
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
 * Gives the replica set in force after an entry.
 *
 * @param log The log.
 * @param index The entry's index.
 * @returns The newest set at or before the index, or undefined.
 */
export function findReplicaSet(
  log: replicaLogs.ReplicaLog,
  index = Number.POSITIVE_INFINITY,
): ReplicaSet | undefined {
  return log.replicaSets.findLast((set) => set.index <= index);
}

/**
 * Tells whether two sets differ by at most one replica, so that each quorum of
 * one meets each quorum of the other.
 *
 * @param before Voters before the change.
 * @param after Voters after it.
 * @returns Whether the change is a safe single step.
 */
export function isSingleVoterChange(
  before: readonly string[],
  after: readonly string[],
): boolean {
  const added = after.filter((id) => !before.includes(id)).length;
  const removed = before.filter((id) => !after.includes(id)).length;
  return after.length > 0 && added + removed <= 1;
}
