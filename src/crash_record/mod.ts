/**
 * Records of work that crashed backend servers, and decisions on running it.
 *
 * @example
 * ```ts
 * import * as crashRecords from "../crash_record/mod.ts";
 * const table = new crashRecords.CrashTable();
 * crashRecords.decideRun(table.get(digest), 0); // { kind: "free" }
 * ```
 * @module
 */
export * from "./assign_server.ts";
export * from "./crash_record.ts";
export * from "./crash_table.ts";
export * from "./decide_run.ts";
export * from "./work_digest.ts";
