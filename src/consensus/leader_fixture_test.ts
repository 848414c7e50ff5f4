import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/** Configuration of replica a in a group of three voters. */
export const CONFIG: replicaStates.ReplicaConfig = {
  id: "a",
  voters: ["a", "b", "c"],
  electionTimeoutMs: 100,
  heartbeatMs: 20,
  maxBatchEntries: 8,
  seed: 1,
};

/**
 * Creates replica a as the leader of b and c, whose logs match its own and who are
 * admitted.
 */
export function createLeader(
  saved: Parameters<typeof stepReplica.createReplica>[1],
): replicaStates.ReplicaState {
  const follower = stepReplica.createReplica(CONFIG, saved, 0);
  const lastIndex = replicaLogs.getLastIndex(follower.log);
  const progress = {
    nextIndex: lastIndex + 1,
    matchIndex: lastIndex,
    lastAckedSentAtMs: 0,
    identity: { ...follower.identity, isAdmitted: true },
  };
  return {
    ...follower,
    role: {
      kind: "leader",
      progress: new Map([["b", progress], ["c", progress]]),
      admitting: new Map(),
      nextHeartbeatAtMs: 0,
      termStartIndex: lastIndex + 1,
      leaderSinceMs: 0,
    },
  };
}
