import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";

/** RPC method names of the calls to the store boxes' leader. */
export const METHODS = {
  askGrant: "crash.askGrant",
  endGrant: "crash.endGrant",
} as const;

/** Asks for one more run of work that crashed servers. */
export interface GrantRequest {
  readonly record: crashRecords.CrashRecord;
  /** Unique id of the run; repeated only by retries of the same request. */
  readonly run: string;
  /** Candidate servers in order of preference. */
  readonly servers: readonly registry.LifetimeKey[];
  /** Whether it may share a server with another granted run if none is free. */
  readonly mayShare: boolean;
}

/** Reports that a granted run has ended. */
export interface GrantEnd {
  readonly run: string;
  /** Current record of the work, which may not have reached the leader yet. */
  readonly record: crashRecords.CrashRecord | undefined;
}

/** Reply to a `GrantRequest`. */
export type GrantReply =
  | replicaGroups.NotLeader
  | { readonly kind: "granted"; readonly server: registry.LifetimeKey }
  /** Retry later: another run of the work is active, or no server is free. */
  | { readonly kind: "busy" }
  /** The work reached the limit of crashes; contains the leader's record. */
  | { readonly kind: "barred"; readonly record: crashRecords.CrashRecord };

/** Reply to a `GrantEnd`. */
export type GrantEndReply =
  | replicaGroups.NotLeader
  | { readonly kind: "done" };
