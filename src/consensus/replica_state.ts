import type * as contactGaps from "./_contact_gap.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";

/**
 * Maximum lag, in entries, at which a replica counts as caught up: it lacks only
 * entries that are in flight.
 */
export const MAX_CAUGHT_UP_LAG_ENTRIES = 96;

/** Configuration of a replica; constant while it runs. */
export interface ReplicaConfig {
  readonly id: string;
  /** Ids of the voters until an entry of the log names others. */
  readonly voters: readonly string[];
  /** Minimum time without a leader's message before an election, in ms. */
  readonly electionTimeoutMs: number;
  /** Time between heartbeats, in ms. */
  readonly heartbeatMs: number;
  /** Maximum number of entries in one append request. */
  readonly maxBatchEntries: number;
  /** Seed of the election delays. */
  readonly seed: number;
}

/** What a leader knows of a follower. */
export interface Progress {
  /** Index of the next entry to send. */
  readonly nextIndex: number;
  /** Last entry known to be replicated to it. */
  readonly matchIndex: number;
  /** Send time of the newest request that it acknowledged, in ms. */
  readonly lastAckedSentAtMs: number;
  /** Time of its last reply, in ms. */
  readonly lastReplyAtMs?: number;
  /** Longest recent gap between two of its replies. */
  readonly replyGap?: contactGaps.ContactGap;
  /** Time at which `nextIndex` was last moved back, in ms. */
  readonly rewoundAtMs?: number;
  /** Fewest entries that it was known to lack. */
  readonly leastLag?: number;
  /** Time at which that number last fell, or of the first reply, in ms. */
  readonly lastProgressAtMs?: number;
  /** Batch size of its next append request while it catches up. */
  readonly catchUpBatchEntries?: number;
  /** Entries that it lacked when `matchIndex` last advanced during catch-up. */
  readonly catchUpLagEntries?: number;
  readonly identity: messages.ReplicaIdentity;
  /** Time of the first reply of this incarnation to this leader, in ms. */
  readonly heardAtMs?: number;
}

/** The Raft role of a replica. */
export type Role =
  | { readonly kind: "follower"; readonly leader?: string }
  | { readonly kind: "preCandidate"; readonly votes: ReadonlySet<string> }
  | { readonly kind: "candidate"; readonly votes: ReadonlySet<string> }
  | {
    readonly kind: "leader";
    readonly progress: ReadonlyMap<string, Progress>;
    /** Incarnations that messages of this leader may have admitted, by replica. */
    readonly admitting: ReadonlyMap<string, number>;
    /** When to send the next heartbeat, in ms. */
    readonly nextHeartbeatAtMs: number;
    /** Index of the first entry of the leader's term. */
    readonly termStartIndex: number;
    /** When the replica became leader, in ms. */
    readonly leaderSinceMs: number;
    /** Until when proposals are refused so that a successor catches up, in ms. */
    readonly handoverUntilMs?: number;
  };

/** The state of a replica; times are monotonic. */
export interface ReplicaState {
  readonly config: ReplicaConfig;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly role: Role;
  readonly identity: messages.ReplicaIdentity;
  /** Replicas that receive the log without a vote. */
  readonly learners: readonly string[];
  readonly log: replicaLogs.ReplicaLog;
  readonly commitIndex: number;
  /** When to start an election unless a leader's message arrives, in ms. */
  readonly electionAtMs: number;
  /** Whether that time was put off after a pause of this process. */
  readonly isElectionDeferred: boolean;
  /** Time of the last message from a leader, in ms; blocks votes for a while. */
  readonly leaderContactAtMs: number;
  /** Messages of leaders and the gaps between them. */
  readonly leaderContacts: contactGaps.LeaderContacts;
  /** Number of election delays drawn so far from the seeded generator. */
  readonly electionDelayCount: number;
  /** Leader of the saved term; undefined if the log doesn't name it. */
  readonly formerLeader: FormerLeader | undefined;
}

/** The leader of a replica's saved term, as named by its log. */
export interface FormerLeader {
  readonly id: string;
  readonly term: number;
  /**
   * Until when a restarted leader uses a shortened election delay to regain
   * leadership, in ms.
   */
  readonly earlyElectionUntilMs: number;
}

/** A replica has confirmed further parts of a snapshot that this leader sends. */
export interface SnapshotConfirmed {
  readonly kind: "snapshotConfirmed";
  readonly from: string;
  /** Last index of the snapshot once all parts are confirmed. */
  readonly wholeIndex: number | undefined;
}

/** An input to a replica. */
export type ReplicaEvent =
  | { readonly kind: "tick" }
  /** Transfers leadership, to any follower unless one is named. */
  | { readonly kind: "transfer"; readonly to?: string | undefined }
  | {
    readonly kind: "message";
    readonly from: string;
    readonly message: messages.Message;
  }
  | { readonly kind: "propose"; readonly commands: readonly unknown[] }
  | SnapshotConfirmed
  /** The leader told the identity of the group, which this replica lacked. */
  | { readonly kind: "joinGroup"; readonly groupId: string }
  /** Sets the replicas that receive the log without a vote. */
  | { readonly kind: "setLearners"; readonly learners: readonly string[] }
  /** Adds or removes one voter; ignored if the change isn't allowed now. */
  | { readonly kind: "changeVoters"; readonly voters: readonly string[] };

/** An action for the driver; effects are executed in order, saves before sends. */
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

/** A new state and the effects of the change. */
export interface Transition {
  readonly state: ReplicaState;
  readonly effects: readonly Effect[];
}

/**
 * Lists the voters named by the newest replica-set entry of the log, committed
 * or not, or else by the configuration.
 *
 * @param state The replica.
 * @returns Their ids.
 */
export function listVoters(state: ReplicaState): readonly string[] {
  return replicaSets.findReplicaSet(state.log)?.voters ?? state.config.voters;
}

/**
 * Reports whether a replica may vote and lead.
 *
 * @param state The replica.
 * @returns Whether it is admitted and among the voters.
 */
export function isVoter(state: ReplicaState): boolean {
  return state.identity.isAdmitted &&
    listVoters(state).includes(state.config.id);
}

/**
 * Returns the number of voters that form a majority.
 *
 * @param state The replica.
 * @returns The size of a quorum.
 */
export function getQuorumSize(state: ReplicaState): number {
  return replicaSets.countQuorum(listVoters(state));
}

/**
 * Lists the progress of the followers that count toward a quorum.
 *
 * @param state The leader.
 * @returns Progress of the admitted voters except the leader; empty for another
 * role.
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
 * Lists the voters except this replica.
 *
 * @param state The replica.
 * @returns Their ids.
 */
export function listOtherVoters(state: ReplicaState): readonly string[] {
  return listVoters(state).filter((voter) => voter !== state.config.id);
}

/**
 * Lists the replicas that a leader replicates to: the other voters and the
 * learners.
 *
 * @param state The replica.
 * @returns Their ids, each once.
 */
export function listFollowers(state: ReplicaState): readonly string[] {
  const all = [...listVoters(state), ...state.learners];
  return [...new Set(all)].filter((id) => id !== state.config.id);
}

/**
 * Removes the log entries up to an index, which a snapshot covers.
 *
 * @param state The replica.
 * @param index Last entry to remove; nothing changes if it was removed before.
 * @returns The replica with the shorter log.
 */
export function trimLog(state: ReplicaState, index: number): ReplicaState {
  const { log } = state;
  const last = Math.max(index, log.snapshotIndex);
  return { ...state, log: replicaLogs.compactLog(log, last) };
}

/**
 * Reports whether a replica leads and has committed an entry of its own term, and
 * so all entries of earlier terms.
 *
 * @param state The replica.
 * @returns Whether it does.
 */
export function isEstablished(state: ReplicaState): boolean {
  const { role, commitIndex } = state;
  return role.kind === "leader" && commitIndex >= role.termStartIndex;
}

/** Reports whether a leader refuses proposals to transfer its leadership. */
export function isHandingOver(state: ReplicaState, nowMs: number): boolean {
  const { role } = state;
  return role.kind === "leader" && role.handoverUntilMs !== undefined &&
    nowMs < role.handoverUntilMs;
}

/** Creates the progress of a follower that has not replied yet. */
export function createProgress(nextIndex: number): Progress {
  return {
    nextIndex,
    matchIndex: 0,
    lastAckedSentAtMs: Number.NEGATIVE_INFINITY,
    identity: { incarnation: 0, isAdmitted: false },
  };
}
