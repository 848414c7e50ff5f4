import type * as storage from "../storage/mod.ts";
import type * as replicaStates from "./replica_state.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaSets from "./replica_set.ts";
import type * as stepReplica from "./step_replica.ts";

/** A record in the durable log. */
export type SavedRecord =
  | {
    readonly kind: "vote";
    readonly term: number;
    readonly votedFor?: string | undefined;
  }
  | {
    readonly kind: "identity";
    readonly identity: messages.ReplicaIdentity;
  }
  | { readonly kind: "entry"; readonly entry: replicaLogs.Entry };

/** Identity of a replica that must catch up before it counts in a quorum. */
const NEW_IDENTITY = { incarnation: 0, isAdmitted: false };

/** Converts a stored snapshot. */
export function toSnapshot(
  stored: storage.StoredSnapshot | undefined,
): messages.Snapshot | undefined {
  if (stored === undefined) return undefined;
  const head = stored.head as Omit<messages.Snapshot, "state">;
  return { ...head, state: stored.parts };
}

/**
 * Creates the identity record of a data folder that has none. The incarnation is the
 * wall time, so that it rises when a folder is created anew.
 */
export function createInitialRecords(
  records: readonly SavedRecord[],
  wallMs: number,
): readonly SavedRecord[] {
  if (records.some((record) => record.kind === "identity")) return [];
  const identity = { incarnation: wallMs, isAdmitted: false };
  return [{ kind: "identity", identity }];
}

/** Term of the entry that bootstraps a replica set. */
const BOOTSTRAP_TERM = 1;

/**
 * Creates the records of an initial member of a replica set. All initial members
 * write the same first entry, so it counts as committed.
 */
export function createBootstrapRecords(
  voters: readonly string[],
  wallMs: number,
  groupId?: string,
): readonly SavedRecord[] {
  const identity: messages.ReplicaIdentity = {
    incarnation: wallMs,
    isAdmitted: true,
    ...(groupId === undefined ? {} : { groupId }),
  };
  const command: replicaSets.ReplicaSetCommand = { kind: "replicaSet", voters };
  return [
    { kind: "identity", identity },
    { kind: "vote", term: BOOTSTRAP_TERM },
    { kind: "entry", entry: { index: 1, term: BOOTSTRAP_TERM, command } },
  ];
}

/** Creates the identity and vote records at the head of a rewritten log. */
export function createHeadRecords(
  state: replicaStates.ReplicaState,
): readonly SavedRecord[] {
  const { term, votedFor, identity } = state;
  return [{ kind: "identity", identity }, { kind: "vote", term, votedFor }];
}

/** Creates the records of the log after a snapshot up to `index`. */
export function createRecordsAfter(
  state: replicaStates.ReplicaState,
  index: number,
): readonly SavedRecord[] {
  const { log } = state;
  const rest = replicaLogs.getEntries(log, index + 1, log.entries.length);
  return [
    ...createHeadRecords(state),
    ...rest.map((entry): SavedRecord => ({ kind: "entry", entry })),
  ];
}

/**
 * Rebuilds a replica from its snapshot and the records after it. An entry replaces
 * earlier entries from its index on.
 */
export function rebuildReplica(
  snapshot: messages.Snapshot | undefined,
  records: readonly SavedRecord[],
): stepReplica.SavedReplica {
  const empty = snapshot === undefined
    ? replicaLogs.EMPTY_LOG
    : replicaLogs.createLog(snapshot);
  const votes = records.filter((record) => record.kind === "vote");
  const vote = votes.at(-1);
  const identities = records.filter((record) => record.kind === "identity");
  const entries: replicaLogs.Entry[] = [];
  for (const record of records) {
    if (record.kind !== "entry") continue;
    const at = record.entry.index - empty.snapshotIndex - 1;
    if (at < 0) continue;
    entries.length = Math.min(entries.length, at);
    entries.push(record.entry);
  }
  return {
    term: vote?.term ?? snapshot?.term ?? 0,
    votedFor: vote?.votedFor,
    identity: identities.at(-1)?.identity ?? NEW_IDENTITY,
    log: replicaLogs.appendEntries(empty, entries),
  };
}

/** Converts an effect to the records to write; none if it saves nothing. */
export function toRecords(
  effect: replicaStates.Effect,
): readonly SavedRecord[] {
  switch (effect.kind) {
    case "saveVote":
      return [{ kind: "vote", term: effect.term, votedFor: effect.votedFor }];
    case "saveIdentity":
      return [{ kind: "identity", identity: effect.identity }];
    case "saveEntries":
      return effect.entries.map((entry) => ({ kind: "entry", entry }));
    default:
      return [];
  }
}
