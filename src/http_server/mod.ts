/**
 * HTTP listeners with limits, request parsing, and responses with result codes.
 *
 * @example
 * ```ts
 * import * as httpServer from "../http_server/mod.ts";
 * const body = await httpServer.readJson({ request, response }, limits);
 * ```
 * @module
 */
export * from "./respond.ts";
export * from "./http_listener.ts";
export type {
  ClosingReason,
  ConnectionLimits,
  Exchange,
} from "./connection_guard.ts";
export { ConnectionGuard } from "./connection_guard.ts";
export * from "./prepare_answer.ts";
export * from "./parse_fields.ts";
export * from "./read_bearer_token.ts";
export * from "./read_body.ts";
export * from "./start_listening.ts";
