import type * as foundingAcceptors from "./founding_acceptor.ts";

/** RPC method that asks for the initial voters of a replica group. */
export const BOOTSTRAP_METHOD = "group.applyForFounding";
/** RPC method that asks a seed to promise a ballot. */
export const PREPARE_METHOD = "group.prepareFounding";
/** RPC method that asks a seed to accept the founding of a ballot. */
export const ACCEPT_METHOD = "group.acceptFounding";

/** Request of a box with an empty disk to be an initial voter. */
export interface BootstrapRequest {
  /** Name of the replica group. */
  readonly group: string;
  /** Id of the box. */
  readonly id: string;
  readonly failureDomain: string;
  /** Largest number of initial voters. */
  readonly wanted: number;
  /** Number of boxes to wait for, within a bounded time. */
  readonly least: number;
}

/** A reply that tells what was decided. */
export interface Founded extends foundingAcceptors.Founding {
  readonly kind: "founded";
}

/** Reply to a bootstrap request. */
export type BootstrapReply =
  /** The voters are not chosen yet; the request is to be repeated. */
  | { readonly kind: "wait" }
  | Founded
  /** This box has been started before, so it may not choose voters. */
  | { readonly kind: "refused" };

/** Asks a seed to promise a ballot. */
export interface PrepareRequest {
  /** Name of the replica group. */
  readonly group: string;
  readonly ballot: foundingAcceptors.Ballot;
}

/** Asks a seed to accept the founding of a ballot. */
export interface AcceptRequest extends PrepareRequest {
  readonly founding: foundingAcceptors.Founding;
}
