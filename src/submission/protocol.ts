import type * as accounts from "../client_account/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "./submission.ts";

/** Names of the calls to the leader of the stores. */
export const METHODS = {
  accept: "submission.accept",
  read: "submission.read",
  readBody: "submission.readBody",
  end: "submission.end",
  nameVersion: "submission.nameVersion",
  retire: "submission.retire",
  readRetire: "submission.readRetire",
} as const;

/** Asks to keep a submission and run it. */
export interface AcceptRequest {
  readonly submission: submissions.Submission;
}

/** Asks for results. */
export interface ReadRequest {
  readonly id: string;
  readonly sender: accounts.Sender;
  readonly after: number;
  readonly waitMs: number;
  /** Failure domain of the asker. */
  readonly failureDomain: string;
  /** Whether a replica that does not lead may answer. */
  readonly mayFollow: boolean;
}

/** Answers a read. */
export interface ReadReply {
  readonly page: submissions.ResultPage;
  /** Replica in the asker's failure domain that can answer its next reads. */
  readonly nearReplica: string | undefined;
}

/** Asks for the body of an item that is not listed yet. */
export interface ReadBodyRequest {
  readonly id: string;
  readonly sender: accounts.Sender;
  readonly item: string;
}

/** Asks to end a submission. */
export interface EndRequest {
  readonly id: string;
  readonly sender: accounts.Sender;
}

/** Names a weight version. */
export interface NameVersionRequest {
  readonly model: string;
  readonly version: number;
}

/** Asks to empty a store box, or how far that is. */
export interface RetireRequest {
  readonly box: string;
}

/** What the leader answers. */
export type LeaderReply<T> =
  | replicaGroups.NotLeader
  | replicaGroups.UnconfirmedChange
  | { readonly kind: "unknown" }
  | { readonly kind: "done"; readonly value: T };

/** How far the emptying of a box is. */
export type RetireState = "running" | "completed" | "tooFewLeft";
