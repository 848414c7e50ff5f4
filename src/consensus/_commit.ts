import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/** Takes entries up to an index as committed; never goes back. */
export function advanceCommitIndex(
  state: replicaStates.ReplicaState,
  index: number,
): replicaStates.Transition {
  if (index <= state.commitIndex) {
    return { state, effects: [] };
  }
  const count = index - state.commitIndex;
  const entries = replicaLogs.getEntries(
    state.log,
    state.commitIndex + 1,
    count,
  );
  return {
    state: { ...state, commitIndex: index },
    effects: [{ kind: "commit", entries }],
  };
}
