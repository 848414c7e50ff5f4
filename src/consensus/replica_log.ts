import type * as messages from "./message.ts";
import * as replicaSets from "./replica_set.ts";

/** One entry of the replicated log. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly command: unknown;
}

/** The log entries after the last snapshot. */
export interface ReplicaLog {
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly entries: readonly Entry[];
  /** Replica sets named by the snapshot and the entries, oldest first. */
  readonly replicaSets: readonly replicaSets.ReplicaSet[];
}

export const EMPTY_LOG: ReplicaLog = {
  snapshotIndex: 0,
  snapshotTerm: 0,
  entries: [],
  replicaSets: [],
};

/**
 * Creates a log without entries that follows a snapshot.
 *
 * @param snapshot The snapshot.
 * @returns The log.
 */
export function createLog(snapshot: messages.Snapshot): ReplicaLog {
  const { index, term, voters } = snapshot;
  return {
    snapshotIndex: index,
    snapshotTerm: term,
    entries: [],
    replicaSets: voters === undefined ? [] : [{ index, voters }],
  };
}

/**
 * Returns the index of the last entry.
 *
 * @param log The log.
 * @returns The index; 0 for an empty log without a snapshot.
 */
export function getLastIndex(log: ReplicaLog): number {
  return log.snapshotIndex + log.entries.length;
}

/**
 * Returns the term of an entry.
 *
 * @param log The log.
 * @param index The entry's index.
 * @returns The term, or undefined if the entry is missing or was compacted.
 */
export function getTermAt(log: ReplicaLog, index: number): number | undefined {
  if (index === log.snapshotIndex) return log.snapshotTerm;
  return log.entries[index - log.snapshotIndex - 1]?.term;
}

/**
 * Returns entries from an index on.
 *
 * @param log The log.
 * @param fromIndex First index.
 * @param limit Maximum number of entries.
 * @returns The entries.
 */
export function getEntries(
  log: ReplicaLog,
  fromIndex: number,
  limit: number,
): readonly Entry[] {
  const start = Math.max(0, fromIndex - log.snapshotIndex - 1);
  return log.entries.slice(start, start + limit);
}

/**
 * Appends entries, replacing existing ones from the first new index on.
 *
 * @param log The log.
 * @param entries Consecutive entries; the first at most one past the end.
 * @returns The new log.
 */
export function appendEntries(
  log: ReplicaLog,
  entries: readonly Entry[],
): ReplicaLog {
  const first = entries[0];
  if (first === undefined) return log;
  const kept = log.entries.slice(0, first.index - log.snapshotIndex - 1);
  const sets = log.replicaSets.filter((set) => set.index < first.index);
  const added = entries.flatMap((entry) =>
    replicaSets.parseReplicaSet(entry) ?? []
  );
  return {
    ...log,
    entries: [...kept, ...entries],
    replicaSets: [...sets, ...added],
  };
}

/**
 * Removes the entries up to an index, which a snapshot covers.
 *
 * @param log The log.
 * @param index Last index to remove.
 * @returns The compacted log; the same log if it doesn't hold the index.
 */
export function compactLog(log: ReplicaLog, index: number): ReplicaLog {
  const snapshotTerm = getTermAt(log, index);
  if (snapshotTerm === undefined) return log;
  const entries = log.entries.slice(index - log.snapshotIndex);
  const setIndex = replicaSets.findReplicaSet(log, index)?.index ?? 0;
  const sets = log.replicaSets.filter((set) => set.index >= setIndex);
  return { snapshotIndex: index, snapshotTerm, entries, replicaSets: sets };
}
