/**
 * HTTP requests whose end is always told truly: answered, not sent, or broken.
 *
 * @example
 * ```ts
 * import * as httpClient from "../http_client/mod.ts";
 * await httpClient.sendRequest({
 *   address: "127.0.0.1", port: 80, method: "GET", path: "/", timeoutMs: 500,
 * });
 * ```
 * @module
 */
export { closeIdleConnections as closeIdleConnections } from "./_agent.ts";
export * from "./probe_port.ts";
export * from "./http_request.ts";
export * from "./open_exchange.ts";
export * from "./send_json.ts";
export * from "./send_request.ts";
