/** An answer stored for repeated requests. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** State of a claimed call. */
export type ClaimState =
  | { readonly kind: "pending" }
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  /** Sent without receiving a complete answer; it may have been executed. */
  | { readonly kind: "unknown" };

/** A claim on a call that must run at most once. */
export interface CallClaim {
  /** Digest of method, path and body; detects a key reused for another call. */
  readonly digest: string;
  /** Id of the attempt that holds the claim. */
  readonly claimId: string;
  /** Wall time of the claim, in ms since the epoch. */
  readonly atMs: number;
  readonly state: ClaimState;
}

/** Outcome of an attempt to claim a call. */
export type ClaimDecision =
  | { readonly kind: "claimed"; readonly claim: CallClaim }
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  | { readonly kind: "heldByOther" }
  | { readonly kind: "unknown" }
  | { readonly kind: "keyReused" };

/**
 * Decides on a claim. The first attempt holds it until it is released.
 *
 * @param current The current claim, if any.
 * @param requested The requested claim.
 * @returns The decision; `claimed` also for the attempt that already holds it.
 */
export function decideClaim(
  current: CallClaim | undefined,
  requested: CallClaim,
): ClaimDecision {
  if (current === undefined) return { kind: "claimed", claim: requested };
  if (current.digest !== requested.digest) return { kind: "keyReused" };
  switch (current.state.kind) {
    case "answered":
      return { kind: "answered", answer: current.state.answer };
    case "unknown":
      return { kind: "unknown" };
    case "pending":
      return current.claimId === requested.claimId
        ? { kind: "claimed", claim: current }
        : { kind: "heldByOther" };
  }
}

/**
 * Tells whether an attempt holds a pending claim.
 *
 * @param current The current claim, if any.
 * @param claimId Id of the attempt.
 * @returns Whether the attempt may finish or release the claim.
 */
export function isPendingClaimOf(
  current: CallClaim | undefined,
  claimId: string,
): current is CallClaim {
  return current !== undefined && current.claimId === claimId &&
    current.state.kind === "pending";
}
