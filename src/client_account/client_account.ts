import * as crypto from "node:crypto";
import * as z from "zod";
import * as checks from "../change_check/mod.ts";
import type * as results from "../results/mod.ts";

const MAX_SHARE = 1_000;

/** What a client account may set for itself. */
export const accountPolicySchema = z.strictObject({
  stalenessVersions: z.number().int().min(0).default(4)
    .describe(
      "Oldest weight version that a sample may hold, counted back from the trainer's",
    ),
  stalenessMs: z.number().int().positive().default(60_000)
    .describe("Greatest age of a sample when it is handed over, in ms"),
  stalenessWeight: z.number().min(0).max(1).default(0.5)
    .describe("1 weighs fresh samples only, 0 weighs trainer idle time only"),
  share: z.number().positive().max(MAX_SHARE).default(1)
    .describe("Share of the capacity against other accounts"),
  maxInFlight: z.number().int().positive().default(1_000)
    .describe("Caller requests served at once by one box"),
}).readonly();

/** Policy of a client account. */
export type AccountPolicy = z.infer<typeof accountPolicySchema>;

/** A client account. */
export interface ClientAccount {
  readonly id: string;
  /** SHA-256 of each token that is valid, in hex. */
  readonly tokenSha256s: readonly string[];
  readonly policy: AccountPolicy;
  /** Configuration revision that last changed it. */
  readonly revision: number;
}

/**
 * Hashes a token; only hashes are kept.
 *
 * @param token The token.
 * @returns SHA-256 in lower-case hex.
 */
export function hashToken(token: string): string {
  return crypto.createHash("sha256").update(token).digest("hex");
}

/**
 * Checks a change merged onto the policy that it changes.
 *
 * @param current The policy now; undefined for a new account.
 * @param change The values to set.
 * @returns The whole policy, or `badParameters` naming what is wrong.
 */
export function checkPolicy(
  current: AccountPolicy | undefined,
  change: Readonly<Record<string, unknown>>,
): results.Result<AccountPolicy> {
  return checks.checkChange(accountPolicySchema, current, change);
}
