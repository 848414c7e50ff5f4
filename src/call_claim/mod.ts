/**
 * Call claims: ensure that a call with an idempotency key runs at most once.
 *
 * @example
 * ```ts
 * import * as claims from "../call_claim/mod.ts";
 * claims.decideClaim(undefined, {
 *   digest: "d",
 *   claimId: "a",
 *   atMs: 0,
 *   state: { kind: "pending" },
 * });
 * ```
 * @module
 */
export * from "./call_claim.ts";
