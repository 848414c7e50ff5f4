/**
 * Durable storage of a box: an append-only log with checksums and snapshots.
 *
 * @example
 * ```ts
 * import * as storage from "../storage/mod.ts";
 * const { log } = await storage.DurableLog.open("data", "box-1");
 * await log.append([{ kind: "vote", term: 1 }]);
 * ```
 * @module
 */
export * from "./durable_log.ts";
export * from "./is_disk_full.ts";
export * from "./record.ts";
