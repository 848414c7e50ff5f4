/**
 * Backend servers and the roles of engines.
 *
 * @example
 * ```ts
 * import * as backendServers from "../backend_server/mod.ts";
 * backendServers.backendServerSchema.parse(json);
 * ```
 * @module
 */
export * from "./backend_server.ts";
export * from "./server_role.ts";
