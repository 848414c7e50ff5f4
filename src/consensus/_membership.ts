import type * as replicaSets from "./replica_set.ts";
import * as replicaLogs from "./replica_log.ts";
import * as sets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";
import * as replications from "./_replication.ts";

const NO_EFFECTS: readonly replicaStates.Effect[] = [];

/** Keeps progress of exactly the replicas that a leader feeds now. */
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

/** Names the replicas that a leader feeds beside the voters. */
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
 * Adds or removes one voter. It needs an established leader without another
 * change under way, and a new voter that counts and lacks only what is under way:
 * the change itself is committed once that voter holds it, or a quorum without it.
 * A leader never removes itself. Otherwise nothing happens.
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
  if (role.kind !== "leader" || commitIndex < role.termStartIndex) return false;
  const pending = sets.findReplicaSet(state.log)?.index ?? 0;
  if (pending > commitIndex || !voters.includes(state.config.id)) return false;
  const before = replicaStates.listVoters(state);
  if (!sets.isSingleVoterChange(before, voters)) return false;
  return voters.filter((id) => !before.includes(id)).every((id) => {
    const progress = role.progress.get(id);
    return progress !== undefined && progress.identity.isAdmitted &&
      commitIndex - progress.matchIndex <=
        replicaStates.MAX_CAUGHT_UP_LAG_ENTRIES;
  });
}
