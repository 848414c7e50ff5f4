/** An answer that is kept to be given again. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** How far a claimed call is. */
export type ClaimState =
  | { readonly kind: "pending" }
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  /** It was sent and no whole answer came; it may have run. */
  | { readonly kind: "unknown" };

/** A claim on a call that must not be repeated. */
export interface CallClaim {
  /** Digest of method, path and body; a key serves one call only. */
  readonly digest: string;
  /** Id of the attempt that holds the claim. */
  readonly claimId: string;
  readonly atMs: number;
  readonly state: ClaimState;
}

/** What became of an attempt to claim a call. */
export type ClaimDecision =
  | { readonly kind: "claimed"; readonly claim: CallClaim }
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  | { readonly kind: "heldByOther" }
  | { readonly kind: "unknown" }
  | { readonly kind: "keyReused" };

/**
 * Decides on a claim: the first attempt holds it until it is released.
 *
 * @param current The claim now, if any.
 * @param requested The claim asked for.
 * @returns The decision; `claimed` again for the attempt that holds it.
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
 * Tells whether an attempt holds a claim that is still pending.
 *
 * @param current The claim now, if any.
 * @param claimId The attempt.
 * @returns Whether the attempt may end or release the claim.
 */
export function isPendingClaimOf(
  current: CallClaim | undefined,
  claimId: string,
): current is CallClaim {
  return current !== undefined && current.claimId === claimId &&
    current.state.kind === "pending";
}
