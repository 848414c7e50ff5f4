/**
 * The backend server aggregate.
 *
 * @example
 * ```ts
 * import * as backends from "../backend_server/mod.ts";
 * backends.backendServerSchema.parse(json);
 * ```
 * @module
 */
export * from "./backend_server.ts";
export * from "./server_role.ts";
