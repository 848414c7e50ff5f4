/**
 * Registry of backend servers, kept up to date by their heartbeats.
 *
 * @example
 * ```ts
 * import * as registry from "../registry/mod.ts";
 * const servers = new registry.ServerRegistry(clock, 1_200);
 * servers.merge(report);
 * ```
 * @module
 */
export * from "./validate_report.ts";
export * from "./lifetime.ts";
export * from "./refusal_recorder.ts";
export * from "./registered_server.ts";
export * from "./server_registry.ts";
