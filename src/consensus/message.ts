import type * as replicaLogs from "./replica_log.ts";

/** Identifies a replica and its data folder. */
export interface ReplicaIdentity {
  /** Increases each time the data folder is created again, as after a lost disk. */
  readonly incarnation: number;
  /** Whether it counts toward a quorum; a new replica does once caught up. */
  readonly isAdmitted: boolean;
  /**
   * Id of the replica's group, chosen at its founding; undefined on an empty disk,
   * and in groups that were founded without one.
   */
  readonly groupId?: string | undefined;
}

/** Requests a vote; a pre-vote asks whether a vote would be granted. */
export interface VoteRequest {
  readonly kind: "voteRequest";
  readonly term: number;
  readonly isPreVote: boolean;
  /**
   * Whether the leader stepped down in favour of this candidate, so that a recent
   * heartbeat is no reason to refuse.
   */
  readonly isTransfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Why a vote was refused. */
export type VoteRefusal =
  /** The voter received a message from another leader recently. */
  | "leaderHeard"
  /** The requested term is older than the voter's. */
  | "oldTerm"
  /** The voter doesn't count toward a quorum yet. */
  | "notAdmitted"
  /** The candidate's log lacks entries that the voter holds. */
  | "logBehind"
  /** The voter granted its vote of this term to another candidate. */
  | "votedOther";

/** Replies to a vote request. */
export interface VoteReply {
  readonly kind: "voteReply";
  readonly term: number;
  readonly isPreVote: boolean;
  readonly isGranted: boolean;
  /** Why the vote was refused, for the candidate's log; undefined if granted. */
  readonly refusal?: VoteRefusal;
}

/** Carries log entries; serves as a heartbeat if it has none. */
export interface AppendRequest {
  readonly kind: "appendRequest";
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly replicaLogs.Entry[];
  readonly commitIndex: number;
  /**
   * Whether a receiver that lost its disk is admitted to quorums once it holds the
   * entries up to the commit index.
   */
  readonly isEstablished: boolean;
  /**
   * Incarnation of the receiver that is admitted; undefined if none is. Leaders of
   * earlier versions omit it and admit any.
   */
  readonly admits?: number | undefined;
  /** Monotonic send time on the leader's clock, in ms; echoed in the reply. */
  readonly sentAtMs: number;
}

/** Replies to an append or a snapshot request. */
export interface AppendReply {
  readonly kind: "appendReply";
  readonly term: number;
  readonly isMatch: boolean;
  /** Last index known to match; on a mismatch, a hint for the next attempt. */
  readonly index: number;
  /**
   * On a mismatch, the term of the follower's entry at `index`. If the leader's
   * entry there has the same term, both logs agree up to it.
   */
  readonly indexTerm?: number | undefined;
  readonly sentAtMs: number;
  readonly identity: ReplicaIdentity;
}

/** Carries the whole state to a replica whose missing entries were compacted. */
export interface SnapshotRequest {
  readonly kind: "snapshotRequest";
  readonly term: number;
  readonly snapshot: Snapshot;
  readonly sentAtMs: number;
}

/** The state of the state machine after a log entry. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  /** The state of the state machine, split into small parts. */
  readonly state: readonly unknown[];
  /** Voters after the entry; undefined if the configuration names them. */
  readonly voters?: readonly string[] | undefined;
}

/** Asks a follower to start an election, after the leader stepped down. */
export interface TransferRequest {
  readonly kind: "transferRequest";
  readonly term: number;
}

/**
 * Asks a replica that lost its disk to choose a higher incarnation, since the
 * leader knows a newer one. This happens if the replica's clock was set back.
 */
export interface RenewRequest {
  readonly kind: "renewRequest";
  readonly term: number;
  /** Newest incarnation of the replica that the leader knows. */
  readonly incarnation: number;
}

/** Carries one part of a snapshot; drivers join them into a snapshot request. */
export interface SnapshotPart {
  readonly kind: "snapshotPart";
  readonly term: number;
  /** Id of the snapshot transfer. */
  readonly transfer: string;
  /** Zero-based index of the part. */
  readonly part: number;
  /** Number of parts of the snapshot. */
  readonly parts: number;
  /** The part; empty in the only message of a snapshot without parts. */
  readonly values: readonly unknown[];
  readonly head: Omit<Snapshot, "state">;
  /** Monotonic send time on the leader's clock, in ms. */
  readonly sentAtMs: number;
}

/** Acknowledges the parts of a snapshot that were received in order. */
export interface SnapshotPartReply {
  readonly kind: "snapshotPartReply";
  readonly transfer: string;
  /** Number of parts received without a gap. */
  readonly received: number;
}

/** A message between drivers: a replica message or a part of a snapshot. */
export type DriverMessage = Message | SnapshotPart | SnapshotPartReply;

/** A message between replicas. */
export type Message =
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendReply
  | SnapshotRequest
  | TransferRequest
  | RenewRequest;
