import type * as accounts from "../client_account/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "./submission.ts";

/** Names of the RPC methods of the store boxes. */
export const METHODS = {
  accept: "submission.accept",
  read: "submission.read",
  readBody: "submission.readBody",
  end: "submission.end",
  nameVersion: "submission.nameVersion",
  retire: "submission.retire",
  readRetire: "submission.readRetire",
} as const;

/** Size of a submission, in bytes, from which its several forms need room. */
export const LARGE_SUBMISSION_BYTES = 1024 * 1024;

/** Request to store a submission and run it. */
export interface AcceptRequest {
  readonly submission: submissions.Submission;
}

/** Request for a page of results. */
export interface ReadRequest {
  readonly id: string;
  readonly sender: accounts.Sender;
  /** Index of the first result wanted, from 0. */
  readonly after: number;
  /** Longest wait for a new result, in ms. */
  readonly waitMs: number;
  /** Failure domain of the requesting box. */
  readonly failureDomain: string;
  /** Whether a follower may answer. */
  readonly mayFollow: boolean;
}

/** Reply to a read. */
export interface ReadReply {
  readonly page: submissions.ResultPage;
  /** Replica in the requester's failure domain to send the next reads to. */
  readonly nearReplica: string | undefined;
}

/** Request for the body of an item. */
export interface ReadBodyRequest {
  readonly id: string;
  readonly sender: accounts.Sender;
  readonly item: string;
}

/** Request to end a submission; it gets no further results. */
export interface EndRequest {
  readonly id: string;
  readonly sender: accounts.Sender;
}

/** Announces the newest weight version of a model. */
export interface NameVersionRequest {
  readonly model: string;
  readonly version: number;
}

/** Request to retire a store box, or for the state of its retirement. */
export interface RetireRequest {
  readonly box: string;
}

/** Reply to a request that the leader handles. */
export type LeaderReply<T> =
  | replicaGroups.NotLeader
  | replicaGroups.UnconfirmedChange
  /** The submission, item or box does not exist, or is not the sender's. */
  | { readonly kind: "unknown" }
  | { readonly kind: "done"; readonly value: T };

/**
 * State of the retirement of a store box; it is refused with `tooFewLeft` where
 * the remaining boxes are fewer than the voters needed.
 */
export type RetireState = "running" | "completed" | "tooFewLeft";
