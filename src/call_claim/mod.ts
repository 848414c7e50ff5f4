/**
 * The call claim aggregate: a call that must not be repeated runs at most once.
 *
 * @example
 * ```ts
 * import * as claims from "../call_claim/mod.ts";
 * claims.decideClaim(undefined, { digest: "d", claimId: "a", atMs: 0, answer: undefined });
 * ```
 * @module
 */
export * from "./call_claim.ts";
