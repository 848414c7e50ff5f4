import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";

/**
 * Entries by which a replica may lag and still be sent each new one at once; it
 * lacks what is under way, no more. One that lags more is fed first.
 */
export const MAX_CAUGHT_UP_LAG_ENTRIES = 96;

/** What does not change while a replica runs. */
export interface ReplicaConfig {
  readonly id: string;
  /** Ids of the voting replicas until the log names others. */
  readonly voters: readonly string[];
  /** Shortest silence after which a replica asks to lead, in ms. */
  readonly electionTimeoutMs: number;
  /** Time between heartbeats, in ms. */
  readonly heartbeatMs: number;
  /** Most entries in one message. */
  readonly maxBatchEntries: number;
  /** Seed of the election delays. */
  readonly seed: number;
}

/** What a leader knows of one other replica. */
export interface Progress {
  readonly nextIndex: number;
  readonly matchIndex: number;
  /** Leader's clock when it sent the last message that was answered, in ms. */
  readonly lastAckedSentAtMs: number;
  /** Leader's clock when its last answer came, in ms. */
  readonly lastReplyAtMs?: number;
  /** Leader's clock when it last went back in what it sends, in ms. */
  readonly rewoundAtMs?: number;
  /** Leader's clock when it first answered, or last confirmed more, in ms. */
  readonly lastProgressAtMs?: number;
  /** Entries of the next message to it while it is fed. */
  readonly catchUpBatchEntries?: number;
  /** Entries that it lacked when it last confirmed more while it was fed. */
  readonly catchUpLagEntries?: number;
  readonly identity: messages.ReplicaIdentity;
}

/** The part that a replica plays. */
export type Role =
  | { readonly kind: "follower"; readonly leader?: string }
  | { readonly kind: "preCandidate"; readonly votes: ReadonlySet<string> }
  | { readonly kind: "candidate"; readonly votes: ReadonlySet<string> }
  | {
    readonly kind: "leader";
    readonly progress: ReadonlyMap<string, Progress>;
    readonly nextHeartbeatAtMs: number;
    /** Index of the first entry of its own term. */
    readonly termStartIndex: number;
    readonly leaderSinceMs: number;
    /** Until when nothing is proposed, so that a successor catches up, in ms. */
    readonly handoverUntilMs?: number;
  };

/** The whole state of a replica. */
export interface ReplicaState {
  readonly config: ReplicaConfig;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly role: Role;
  readonly identity: messages.ReplicaIdentity;
  /** Replicas that a leader feeds though they do not vote. */
  readonly learners: readonly string[];
  readonly log: replicaLogs.ReplicaLog;
  readonly commitIndex: number;
  /** When to ask to lead unless a leader is heard, in ms. */
  readonly electionAtMs: number;
  /** When a leader was last heard, in ms; a vote is refused soon after. */
  readonly leaderContactAtMs: number;
  /** How late the leader of a term is heard at the worst lately. */
  readonly heartbeatGap: HeartbeatGap;
  /** Election delays drawn so far. */
  readonly electionDelayCount: number;
  /** Leader of the term in which this replica was started, where its log tells. */
  readonly formerLeader: FormerLeader | undefined;
}

/** How late a leader is heard; it counts for its term only. */
export interface HeartbeatGap {
  readonly term: number;
  /** Longest time between two of its messages, less what has passed since, in ms. */
  readonly gapMs: number;
}

/** The leader that a replica followed when it stopped, as its log tells. */
export interface FormerLeader {
  readonly id: string;
  readonly term: number;
  /** Until when the former leader itself hurries to lead again, in ms. */
  readonly earlyElectionUntilMs: number;
}

/** What a replica is told. */
export type ReplicaEvent =
  | { readonly kind: "tick" }
  /** Hands leadership over, to a certain follower where one is named. */
  | { readonly kind: "transfer"; readonly to?: string | undefined }
  | {
    readonly kind: "message";
    readonly from: string;
    readonly message: messages.Message;
  }
  | { readonly kind: "propose"; readonly commands: readonly unknown[] }
  /** Names the replicas to feed beside the voters. */
  | { readonly kind: "setLearners"; readonly learners: readonly string[] }
  /** Asks a leader to add or remove one voter; refused without effects. */
  | { readonly kind: "changeVoters"; readonly voters: readonly string[] };

/** What a replica asks its driver to do, in order; saves come before sends. */
export type Effect =
  | {
    readonly kind: "saveVote";
    readonly term: number;
    readonly votedFor: string | undefined;
  }
  | {
    readonly kind: "saveIdentity";
    readonly identity: messages.ReplicaIdentity;
  }
  | {
    readonly kind: "saveEntries";
    readonly entries: readonly replicaLogs.Entry[];
  }
  | { readonly kind: "restore"; readonly snapshot: messages.Snapshot }
  | {
    readonly kind: "send";
    readonly to: string;
    readonly message: messages.Message;
  }
  | { readonly kind: "sendSnapshot"; readonly to: string }
  | { readonly kind: "commit"; readonly entries: readonly replicaLogs.Entry[] };

/** A new state and what follows from the change. */
export interface Transition {
  readonly state: ReplicaState;
  readonly effects: readonly Effect[];
}

/**
 * Lists the voters, as the newest entry of the log that names them says.
 *
 * @param state The replica.
 * @returns Their ids.
 */
export function listVoters(state: ReplicaState): readonly string[] {
  return replicaSets.findReplicaSet(state.log)?.voters ?? state.config.voters;
}

/**
 * Tells whether a replica votes and may lead.
 *
 * @param state The replica.
 * @returns Whether it is admitted and among the voters.
 */
export function isVoter(state: ReplicaState): boolean {
  return state.identity.isAdmitted &&
    listVoters(state).includes(state.config.id);
}

/**
 * Says how many replicas make a majority.
 *
 * @param state The replica.
 * @returns The size of a quorum.
 */
export function getQuorumSize(state: ReplicaState): number {
  return Math.floor(listVoters(state).length / 2) + 1;
}

/**
 * Lists what a leader knows of the followers that count in a quorum.
 *
 * @param state The leader.
 * @returns Progress of the admitted followers that vote.
 */
export function listAdmittedProgress(state: ReplicaState): readonly Progress[] {
  if (state.role.kind !== "leader") return [];
  const voters = listVoters(state);
  return [...state.role.progress]
    .filter(([id, progress]) =>
      voters.includes(id) && progress.identity.isAdmitted
    )
    .map(([, progress]) => progress);
}

/**
 * Lists the other voters.
 *
 * @param state The replica.
 * @returns Their ids.
 */
export function listOtherVoters(state: ReplicaState): readonly string[] {
  return listVoters(state).filter((voter) => voter !== state.config.id);
}

/**
 * Lists the replicas that a leader feeds: the other voters and the learners.
 *
 * @param state The replica.
 * @returns Their ids, each once.
 */
export function listFollowers(state: ReplicaState): readonly string[] {
  const all = [...listVoters(state), ...state.learners];
  return [...new Set(all)].filter((id) => id !== state.config.id);
}

/**
 * Drops the entries up to an index, which a snapshot covers.
 *
 * @param state The replica.
 * @param index Last entry to drop; none are dropped where that was done before.
 * @returns The replica with a shorter log.
 */
export function trimLog(state: ReplicaState, index: number): ReplicaState {
  const { log } = state;
  const last = Math.max(index, log.snapshotIndex);
  return { ...state, log: replicaLogs.compactLog(log, last) };
}

/** Whether a leader holds back commands to hand its lead over. */
export function isHandingOver(state: ReplicaState, nowMs: number): boolean {
  const { role } = state;
  return role.kind === "leader" && role.handoverUntilMs !== undefined &&
    nowMs < role.handoverUntilMs;
}

/** What a leader takes for known of a replica that it has not heard. */
export function createProgress(nextIndex: number): Progress {
  return {
    nextIndex,
    matchIndex: 0,
    lastAckedSentAtMs: Number.NEGATIVE_INFINITY,
    identity: { incarnation: 0, isAdmitted: false },
  };
}
