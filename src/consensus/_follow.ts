import * as commits from "./_commit.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

function findNewEntries(
  log: replicaLogs.ReplicaLog,
  entries: readonly replicaLogs.Entry[],
): readonly replicaLogs.Entry[] {
  const first = entries.findIndex((entry) =>
    entry.index > log.snapshotIndex &&
    replicaLogs.getTermAt(log, entry.index) !== entry.term
  );
  return first < 0 ? [] : entries.slice(first);
}

function createAppendReply(
  to: string,
  reply: Omit<messages.AppendReply, "kind">,
): replicaStates.Effect {
  return { kind: "send", to, message: { kind: "appendReply", ...reply } };
}

/**
 * Appends entries from the leader of the current term, advances the commit index and
 * replies. Without the previous entry the reply tells the leader where to retry, and
 * the term of the entry there.
 */
export function acceptAppend(
  state: replicaStates.ReplicaState,
  from: string,
  request: messages.AppendRequest,
): replicaStates.Transition {
  const { term, sentAtMs, previousIndex, entries } = request;
  const isCovered = previousIndex < state.log.snapshotIndex;
  const isMatch = isCovered ||
    replicaLogs.getTermAt(state.log, previousIndex) === request.previousTerm;
  if (!isMatch) {
    const index = Math.min(
      replicaLogs.getLastIndex(state.log),
      previousIndex - 1,
    );
    const indexTerm = replicaLogs.getTermAt(state.log, index);
    const { identity } = state;
    const reply = { term, isMatch, index, indexTerm, sentAtMs, identity };
    return { state, effects: [createAppendReply(from, reply)] };
  }
  const added = findNewEntries(state.log, entries);
  const log = replicaLogs.appendEntries(state.log, added);
  const index = Math.max(previousIndex + entries.length, log.snapshotIndex);
  const committed = commits.advanceCommitIndex(
    { ...state, log },
    Math.min(request.commitIndex, index),
  );
  const saves: readonly replicaStates.Effect[] = added.length === 0
    ? []
    : [{ kind: "saveEntries", entries: added }];
  const admitted = admitReplica(committed.state, request, index);
  const { identity } = admitted.state;
  const reply = createAppendReply(from, {
    term,
    isMatch,
    index,
    sentAtMs,
    identity,
  });
  return {
    state: admitted.state,
    effects: [...saves, ...admitted.effects, reply, ...committed.effects],
  };
}

/**
 * Admits a new replica to quorums if the leader says so and it holds every entry
 * that the leader has committed. Then it holds all entries that its former
 * incarnation may have acknowledged.
 */
function admitReplica(
  state: replicaStates.ReplicaState,
  request: messages.AppendRequest,
  index: number,
): replicaStates.Transition {
  const { incarnation, isAdmitted } = state.identity;
  const { admits = incarnation, isEstablished, commitIndex } = request;
  const isCurrent = isEstablished && index >= commitIndex;
  if (isAdmitted || !isCurrent || admits !== incarnation) {
    return { state, effects: [] };
  }
  const identity = { ...state.identity, isAdmitted: true };
  return {
    state: { ...state, identity },
    effects: [{ kind: "saveIdentity", identity }],
  };
}

/**
 * Installs a snapshot from the leader of the current term, unless the log already
 * holds its last entry, and replies.
 */
export function acceptSnapshot(
  state: replicaStates.ReplicaState,
  from: string,
  request: messages.SnapshotRequest,
): replicaStates.Transition {
  const { snapshot, term, sentAtMs } = request;
  const { identity } = state;
  const { index } = snapshot;
  function createReply(matched: number): replicaStates.Effect {
    return createAppendReply(from, {
      term,
      isMatch: true,
      index: matched,
      sentAtMs,
      identity,
    });
  }
  if (index <= state.commitIndex) {
    return { state, effects: [createReply(state.commitIndex)] };
  }
  // A delayed snapshot must not remove confirmed entries after it.
  if (replicaLogs.getTermAt(state.log, index) === snapshot.term) {
    const committed = commits.advanceCommitIndex(state, index);
    return {
      state: committed.state,
      effects: [createReply(index), ...committed.effects],
    };
  }
  const log = replicaLogs.createLog(snapshot);
  return {
    state: { ...state, log, commitIndex: index },
    effects: [{ kind: "restore", snapshot }, createReply(index)],
  };
}
