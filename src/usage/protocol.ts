import type * as replicaGroups from "../replica_group/mod.ts";
import type * as usageTotals from "./usage_totals.ts";

/** Names of the calls to the leader of the stores. */
export const METHODS = { tell: "usage.tell" } as const;

/** Running totals of one box. */
export interface TotalsRequest {
  /** Id of the box and when it started. */
  readonly source: string;
  readonly totals: readonly usageTotals.UsageTotal[];
}

/** The leader's answer. */
export type TotalsReply =
  | replicaGroups.NotLeader
  /** Newest window that is agreed on; nothing up to it is wanted again. */
  | { readonly kind: "done"; readonly lastClosed: number | undefined };
