/**
 * Which work ends the servers that run it, and what becomes of it then.
 *
 * @example
 * ```ts
 * import * as crashGuards from "../crash_guard/mod.ts";
 * const digest = crashGuards.computeWorkDigest(work);
 * ```
 * @module
 */
export * from "./work_digest.ts";
