import * as admissions from "./_admission.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";
import * as replications from "./_replication.ts";

const NO_EFFECTS: readonly replicaStates.Effect[] = [];

/** Adds progress for new followers of a leader and drops that of removed ones. */
function updateProgress(
  state: replicaStates.ReplicaState,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader") return state;
  const first = replicaStates.createProgress(
    replicaLogs.getLastIndex(state.log) + 1,
  );
  const progress = new Map(
    replicaStates.listFollowers(state).map((id) =>
      [id, role.progress.get(id) ?? first] as const
    ),
  );
  return { ...state, role: { ...role, progress } };
}

/**
 * Sets the non-voting replicas to replicate to; a leader contacts them at once.
 */
export function setLearners(
  state: replicaStates.ReplicaState,
  learners: readonly string[],
  nowMs: number,
): replicaStates.Transition {
  const isSame = learners.length === state.learners.length &&
    learners.every((id) => state.learners.includes(id));
  if (isSame) return { state, effects: NO_EFFECTS };
  const updated = updateProgress({ ...state, learners });
  if (updated.role.kind !== "leader") {
    return { state: updated, effects: NO_EFFECTS };
  }
  return replications.sendAppends(updated, nowMs);
}

/**
 * Changes the voters by appending a replica set entry, which takes effect once
 * appended. Does nothing unless the replica is an established leader that stays a
 * voter, the previous change is committed, all quorums before and after it overlap,
 * and a new voter is admitted and nearly caught up: a quorum may need that
 * voter to commit the change.
 */
export function changeVoters(
  state: replicaStates.ReplicaState,
  voters: readonly string[],
  nowMs: number,
): replicaStates.Transition {
  if (!canChange(state, voters)) return { state, effects: NO_EFFECTS };
  const command: replicaSets.ReplicaSetCommand = { kind: "replicaSet", voters };
  const entry: replicaLogs.Entry = {
    index: replicaLogs.getLastIndex(state.log) + 1,
    term: state.term,
    command,
  };
  const log = replicaLogs.appendEntries(state.log, [entry]);
  const sent = replications.sendAppends(
    updateProgress({ ...state, log }),
    nowMs,
  );
  return {
    state: sent.state,
    effects: [{ kind: "saveEntries", entries: [entry] }, ...sent.effects],
  };
}

function canChange(
  state: replicaStates.ReplicaState,
  voters: readonly string[],
): boolean {
  const { role, commitIndex } = state;
  if (role.kind !== "leader" || !replicaStates.isEstablished(state)) {
    return false;
  }
  const before = replicaStates.listVoters(state);
  const isSame = before.length === voters.length &&
    before.every((id) => voters.includes(id));
  if (isSame || !voters.includes(state.config.id)) return false;
  const pending = replicaSets.findReplicaSet(state.log)?.index ?? 0;
  if (pending > commitIndex) return false;
  if (!admissions.canFollowOn(state, voters)) return false;
  return voters.filter((id) => !before.includes(id)).every((id) => {
    const progress = role.progress.get(id);
    return progress !== undefined && progress.identity.isAdmitted &&
      commitIndex - progress.matchIndex <=
        replicaStates.MAX_CAUGHT_UP_LAG_ENTRIES;
  });
}
