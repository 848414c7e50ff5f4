/**
 * Client accounts: authentication by key, and the policy of each account.
 *
 * @example
 * ```ts
 * import * as accounts from "../client_account/mod.ts";
 * accounts.accountPolicySchema.parse({ stalenessVersions: 2 });
 * ```
 * @module
 */
export * from "./account_keys.ts";
export * from "./client_account.ts";
