import type * as replicaLogs from "./replica_log.ts";

/** Tells a replica from its former self whose disk was lost. */
export interface ReplicaIdentity {
  /** Rises each time the data folder is made anew. */
  readonly incarnation: number;
  /** Whether it counts in a quorum; a new replica does once caught up. */
  readonly isAdmitted: boolean;
}

/** Asks for a vote; a pre-vote asks whether a vote would be given. */
export interface VoteRequest {
  readonly kind: "voteRequest";
  readonly term: number;
  readonly isPreVote: boolean;
  /** The leader gave up for this candidate; it is no reason to refuse. */
  readonly isTransfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Why a vote was refused. */
export type VoteRefusal =
  | "leaderHeard"
  | "oldTerm"
  | "notAdmitted"
  | "logBehind"
  | "votedOther";

/** Answers a vote request. */
export interface VoteReply {
  readonly kind: "voteReply";
  readonly term: number;
  readonly isPreVote: boolean;
  readonly isGranted: boolean;
  /** For the log of the candidate; undefined where it was granted. */
  readonly refusal?: VoteRefusal;
}

/** Carries log entries, or none as a heartbeat. */
export interface AppendRequest {
  readonly kind: "appendRequest";
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly replicaLogs.Entry[];
  readonly commitIndex: number;
  /** Whether an entry of the leader's own term is committed. */
  readonly isEstablished: boolean;
  /** Monotonic ms of the leader's clock at sending; echoed in the reply. */
  readonly sentAtMs: number;
}

/** Answers an append or a snapshot. */
export interface AppendReply {
  readonly kind: "appendReply";
  readonly term: number;
  readonly isMatch: boolean;
  /** Last index known to match, or a hint where to try next. */
  readonly index: number;
  readonly sentAtMs: number;
  readonly identity: ReplicaIdentity;
}

/** Gives the whole state to a replica that is too far behind. */
export interface SnapshotRequest {
  readonly kind: "snapshotRequest";
  readonly term: number;
  readonly snapshot: Snapshot;
  readonly sentAtMs: number;
}

/** The state after an entry. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  /** The machine's state in parts, none of them large. */
  readonly state: readonly unknown[];
  /** Voters after the entry; undefined where the configuration names them. */
  readonly voters?: readonly string[] | undefined;
}

/** A leader that has just stepped down asks a follower to lead. */
export interface TransferRequest {
  readonly kind: "transferRequest";
  readonly term: number;
}

/**
 * Tells a replica without a disk of before that its incarnation is not above the
 * one that the leader knows, as after a clock that was stepped back.
 */
export interface RenewRequest {
  readonly kind: "renewRequest";
  readonly term: number;
  /** Incarnation of the replica's former self. */
  readonly incarnation: number;
}

/** Carries a part of a snapshot; drivers join them to a snapshot request. */
export interface SnapshotPart {
  readonly kind: "snapshotPart";
  readonly term: number;
  /** Names the snapshot that it is part of. */
  readonly transfer: string;
  /** Place of the part, from 0. */
  readonly part: number;
  readonly parts: number;
  /** The part; none in the only message of a snapshot without parts. */
  readonly values: readonly unknown[];
  readonly head: Omit<Snapshot, "state">;
  /** Monotonic ms of the leader's clock at sending. */
  readonly sentAtMs: number;
}

/** Tells how many parts of a snapshot have come, in order. */
export interface SnapshotPartReply {
  readonly kind: "snapshotPartReply";
  readonly transfer: string;
  readonly received: number;
}

/** What drivers send each other: messages of replicas, and snapshots in parts. */
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
