import type * as replicaGroups from "../replica_group/mod.ts";
import type * as usageTotals from "./usage_totals.ts";

/** Names of the RPC methods that the leader of the stores serves. */
export const METHODS = { tell: "usage.tell" } as const;

/** Sends the running totals of one box. */
export interface TotalsRequest {
  /** Id of the box and its start time; identifies the process that counted. */
  readonly source: string;
  readonly totals: readonly usageTotals.UsageTotal[];
}

/** Answer of the leader, or of a box that is not the leader. */
export type TotalsReply =
  | replicaGroups.NotLeader
  /** Latest closed window; totals through it need not be sent again. */
  | { readonly kind: "done"; readonly lastClosed: number | undefined };
