/**
 * Logging: one line of key=value pairs per event.
 *
 * @example
 * ```ts
 * import * as logs from "../log/mod.ts";
 * new logs.Log("box-1", "info").write("info", "lease.granted", { untilMs: 5 });
 * ```
 * @module
 */
export * from "./line_buffer.ts";
export * from "./log.ts";
