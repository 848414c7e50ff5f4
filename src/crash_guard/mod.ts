/**
 * Detects work that crashes the backend servers running it, shares this with the
 * other boxes, and limits how many more servers it may crash.
 *
 * @example
 * ```ts
 * import * as crashGuards from "../crash_guard/mod.ts";
 * const guard = new crashGuards.CrashGuard(options);
 * guard.decideRun(() => digest); // { kind: "free" }
 * ```
 * @module
 */
export * from "./crash_guard.ts";
export * from "./crash_replicator.ts";
export * from "./create_grant_client.ts";
export * from "./grant_service.ts";
export * from "./protocol.ts";
export * from "./record_file.ts";
export * from "./record_sync.ts";
export * from "./work_description.ts";
