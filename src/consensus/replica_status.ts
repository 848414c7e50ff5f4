import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";

/** Silence of a follower up to which it counts as present, in ms. */
const PRESENCE_TIMEOUT_MS = 1_000;

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

/** What explains that a replica leads, or that it does not. */
export interface ReplicaHealth {
  readonly role: replicaStates.Role["kind"];
  readonly term: number;
  readonly leader: string | undefined;
  /** Whether this replica may act as leader now. */
  readonly hasAuthority: boolean;
  readonly isAdmitted: boolean;
  /** Whether it is among the voters that its log names. */
  readonly isInSet: boolean;
  readonly set: VoterSet;
  readonly lastIndex: number;
  /** Time since a leader that may act was known, in ms. */
  readonly leaderlessMs: number;
  /** How long the write under way has lasted, in ms; 0 for none. */
  readonly writingMs: number;
  /** What a leader knows of its followers; undefined without the lead. */
  readonly followers: FollowersHealth | undefined;
}

/** What a leader knows of its followers together. */
export interface FollowersHealth {
  /** Voters that answered lately and count in a quorum, the leader among them. */
  readonly presentVoters: number;
  readonly quorum: number;
  /** How long the follower that is fed longest has not counted, in ms. */
  readonly fedMs: number;
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
      silentMs: Math.round(nowMs - entry.lastAckedSentAtMs),
    })),
    voterSet: describeVoterSet(state),
  };
}

/** What a replica's state alone does not tell of its health. */
export type HealthTimings =
  & Pick<ReplicaHealth, "hasAuthority" | "leaderlessMs" | "writingMs">
  & Pick<FollowersHealth, "fedMs">;

/**
 * Describes why a replica leads, or why it does not.
 *
 * @param state The replica.
 * @param timings What was measured beside the state.
 * @param nowMs Monotonic time, in ms.
 * @returns What explains it.
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

/** Counts the voters that a leader may count on, itself among them. */
function countPresentVoters(
  state: replicaStates.ReplicaState,
  nowMs: number,
): number {
  const present = replicaStates.listAdmittedProgress(state).filter((progress) =>
    nowMs - progress.lastAckedSentAtMs < PRESENCE_TIMEOUT_MS
  );
  return present.length + (replicaStates.isVoter(state) ? 1 : 0);
}
