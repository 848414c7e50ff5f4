/**
 * Finds out which work ends the servers that run it, tells the fleet, and bounds
 * how many more it may end.
 *
 * @example
 * ```ts
 * import * as crashGuards from "../crash_guard/mod.ts";
 * const guard = new crashGuards.CrashGuard(options);
 * guard.judge(() => digest); // { kind: "free" }
 * ```
 * @module
 */
export * from "./crash_guard.ts";
export * from "./crash_replicator.ts";
export * from "./create_grant_client.ts";
export * from "./grant_service.ts";
export * from "./protocol.ts";
