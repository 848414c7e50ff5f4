import * as crypto from "node:crypto";
import * as z from "zod";
import * as checks from "../change_check/mod.ts";
import type * as results from "../results/mod.ts";

const MAX_SHARE = 1_000;

/** Schema of the policy that a client account may set for itself. */
export const accountPolicySchema = z.strictObject({
  stalenessVersions: z.number().int().min(0).default(4)
    .describe(
      "Staleness bound of a sample, in weight versions behind the trainer's",
    ),
  stalenessMs: z.number().int().positive().default(60_000)
    .describe("Maximum age of a sample when it is delivered, in ms"),
  stalenessWeight: z.number().min(0).max(1).default(0.5)
    .describe(
      "Weight of fresh samples against trainer idle time; 1 ignores idle time, 0 freshness",
    ),
  share: z.number().positive().max(MAX_SHARE).default(1)
    .describe("Share of the capacity, relative to other accounts"),
  maxInFlight: z.number().int().positive().default(1_000)
    .describe("Maximum number of concurrent caller requests on one box"),
}).readonly();

/** Validated policy of a client account. */
export type AccountPolicy = z.infer<typeof accountPolicySchema>;

/** A client account with its tokens and policy. */
export interface ClientAccount {
  readonly id: string;
  /** SHA-256 of each valid token, in lower-case hex. */
  readonly tokenSha256s: readonly string[];
  readonly policy: AccountPolicy;
  /** Configuration revision of its last change. */
  readonly revision: number;
}

/**
 * Hashes a token, as only hashes are stored.
 *
 * @param token The token.
 * @returns SHA-256 in lower-case hex.
 */
export function hashToken(token: string): string {
  return crypto.createHash("sha256").update(token).digest("hex");
}

/**
 * Applies a change to a policy and validates the result.
 *
 * @param current The current policy; undefined for a new account.
 * @param change The values to set.
 * @returns The complete policy, or `badParameters` that names the invalid values.
 */
export function checkPolicy(
  current: AccountPolicy | undefined,
  change: Readonly<Record<string, unknown>>,
): results.Result<AccountPolicy> {
  return checks.checkChange(accountPolicySchema, current, change);
}
