/**
 * Routing: chooses the backend server for each request.
 *
 * @example
 * ```ts
 * import * as routing from "../routing/mod.ts";
 * routing.chooseServer(candidates, requirements, Math.random);
 * ```
 * @module
 */
export * from "./choose_server.ts";
export * from "./prefix_table.ts";
export * from "./server_table.ts";
