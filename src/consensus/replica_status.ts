import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";

/** What others may know of a replica. */
export interface ReplicaStatus {
  readonly role: replicaStates.ReplicaState["role"]["kind"];
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly followers: readonly FollowerStatus[];
  readonly voterSet: VoterSet;
}

/** How far a follower is, as its leader knows. */
export interface FollowerStatus {
  readonly id: string;
  readonly matchIndex: number;
  /** Time since the last answered message was sent, in ms. */
  readonly silentMs: number;
  /** False for a new replica that has not caught up. */
  readonly isAdmitted: boolean;
}

/** Who votes, as the log of one replica says. */
export interface VoterSet {
  readonly voters: readonly string[];
  /** Index of the entry that names them; 0 where none does. */
  readonly index: number;
  /** Whether the replica knows that entry to be committed. */
  readonly isCommitted: boolean;
}

/**
 * Tells who votes as a replica's log says, and since which entry.
 *
 * @param state The replica.
 * @returns The set in force for this replica.
 */
export function describeVoterSet(
  state: replicaStates.ReplicaState,
): VoterSet {
  const index = replicaSets.findReplicaSet(state.log)?.index ?? 0;
  return {
    voters: replicaStates.listVoters(state),
    index,
    isCommitted: index <= state.commitIndex,
  };
}

/**
 * Gives the id of the leader, as far as a replica knows.
 *
 * @param state The replica.
 * @returns The id, or undefined.
 */
export function getLeader(
  state: replicaStates.ReplicaState,
): string | undefined {
  switch (state.role.kind) {
    case "leader":
      return state.config.id;
    case "follower":
      return state.role.leader;
    case "candidate":
    case "preCandidate":
      return undefined;
  }
}

/**
 * Describes a replica for operators.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @returns Its status.
 */
export function describeReplica(
  state: replicaStates.ReplicaState,
  nowMs: number,
): ReplicaStatus {
  const { role, term, commitIndex, log } = state;
  const progress = role.kind === "leader" ? [...role.progress] : [];
  return {
    role: role.kind,
    term,
    leader: getLeader(state),
    commitIndex,
    lastIndex: replicaLogs.getLastIndex(log),
    followers: progress.map(([id, entry]) => ({
      id,
      matchIndex: entry.matchIndex,
      isAdmitted: entry.identity.isAdmitted,
      silentMs: Math.round(nowMs - entry.answeredSentAtMs),
    })),
    voterSet: describeVoterSet(state),
  };
}
