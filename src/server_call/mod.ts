/**
 * Calls to a backend server that are no requests of callers: orders, and reads of
 * its state.
 *
 * @example
 * ```ts
 * import * as serverCalls from "../server_call/mod.ts";
 * const answer = await serverCalls.verifyLifetime({ server, dialect });
 * ```
 * @module
 */
export * from "./check_stream_end.ts";
export * from "./verify_lifetime.ts";
export * from "./send_server_call.ts";
