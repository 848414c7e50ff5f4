import * as admissions from "./_admission.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";

/** Maximum age of the last acknowledged request of a present voter, in ms. */
export const PRESENCE_TIMEOUT_MS = 1_000;

/** Status of a replica, as shown to operators and other boxes. */
export interface ReplicaStatus {
  readonly role: replicaStates.ReplicaState["role"]["kind"];
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /**
   * Whether it leads and has committed an entry of its term, so that it may change
   * the voters; unlike authority, this needs no lease.
   */
  readonly isEstablished: boolean;
  readonly followers: readonly FollowerStatus[];
  readonly voterSet: VoterSet;
}

/** Replication status of a follower, as known to its leader. */
export interface FollowerStatus {
  readonly id: string;
  /** Last entry known to be replicated to it. */
  readonly matchIndex: number;
  /** Age of the last acknowledged request, in ms. */
  readonly silentMs: number;
  /** False for a new replica that has not caught up. */
  readonly isAdmitted: boolean;
  /** Whether it is a voter that lost its disk and can be replaced in one step. */
  readonly isReplaceable: boolean;
}

/** Why a replica is, or isn't, an active leader. */
export interface ReplicaHealth {
  readonly role: replicaStates.Role["kind"];
  readonly term: number;
  readonly leader: string | undefined;
  /** Whether the replica may act as leader now. */
  readonly hasAuthority: boolean;
  readonly isAdmitted: boolean;
  /** Whether the replica is one of the voters in its log. */
  readonly isInSet: boolean;
  readonly set: VoterSet;
  readonly lastIndex: number;
  /** Time since an active leader was last known, in ms. */
  readonly leaderlessMs: number;
  /** Duration of the current write so far, in ms; 0 for none. */
  readonly writingMs: number;
  /** Health of the followers; undefined unless the replica is the leader. */
  readonly followers: FollowersHealth | undefined;
}

/** Summary of a leader's followers. */
export interface FollowersHealth {
  /** Admitted voters that replied recently, including the leader. */
  readonly presentVoters: number;
  /** Number of voters that form a majority. */
  readonly quorum: number;
  /** Longest time for which a follower has been catching up, in ms. */
  readonly fedMs: number;
}

/** The voters according to the log of one replica. */
export interface VoterSet {
  readonly voters: readonly string[];
  /** Index of the entry that names them; 0 if none does. */
  readonly index: number;
  /** Whether the replica knows that entry to be committed. */
  readonly isCommitted: boolean;
}

/**
 * Describes the voter set in force for a replica.
 *
 * @param state The replica.
 * @returns The voters and the entry that names them.
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
 * Returns the id of the leader that a replica knows.
 *
 * @param state The replica.
 * @returns The id, or undefined if none is known.
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
  const replaceable = admissions.listReplaceable(state);
  return {
    role: role.kind,
    term,
    leader: getLeader(state),
    commitIndex,
    lastIndex: replicaLogs.getLastIndex(log),
    isEstablished: replicaStates.isEstablished(state),
    followers: progress.map(([id, entry]) => ({
      id,
      matchIndex: entry.matchIndex,
      isAdmitted: entry.identity.isAdmitted,
      isReplaceable: replaceable.includes(id),
      silentMs: Math.round(nowMs - entry.lastAckedSentAtMs),
    })),
    voterSet: describeVoterSet(state),
  };
}

/** Health measurements that aren't part of the replica's state. */
export type HealthTimings =
  & Pick<ReplicaHealth, "hasAuthority" | "leaderlessMs" | "writingMs">
  & Pick<FollowersHealth, "fedMs">;

/**
 * Describes why a replica is, or isn't, an active leader.
 *
 * @param state The replica.
 * @param timings Measurements outside the state.
 * @param nowMs Monotonic time, in ms.
 * @returns The health of the replica.
 */
export function describeHealth(
  state: replicaStates.ReplicaState,
  timings: HealthTimings,
  nowMs: number,
): ReplicaHealth {
  const { role, term, identity, log } = state;
  const { hasAuthority, leaderlessMs, writingMs, fedMs } = timings;
  const set = describeVoterSet(state);
  return {
    role: role.kind,
    term,
    leader: getLeader(state),
    hasAuthority,
    isAdmitted: identity.isAdmitted,
    isInSet: set.voters.includes(state.config.id),
    set,
    lastIndex: replicaLogs.getLastIndex(log),
    leaderlessMs,
    writingMs,
    followers: role.kind !== "leader" ? undefined : {
      presentVoters: countPresentVoters(state, nowMs),
      quorum: replicaStates.getQuorumSize(state),
      fedMs,
    },
  };
}

/** Counts the admitted voters that replied recently, including the leader. */
function countPresentVoters(
  state: replicaStates.ReplicaState,
  nowMs: number,
): number {
  const present = replicaStates.listAdmittedProgress(state).filter((progress) =>
    nowMs - progress.lastAckedSentAtMs < PRESENCE_TIMEOUT_MS
  );
  return present.length + (replicaStates.isVoter(state) ? 1 : 0);
}
