/**
 * HTTP requests whose outcome states whether they were sent and answered.
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
export { closeIdleConnections } from "./_agent.ts";
export * from "./probe_port.ts";
export * from "./http_request.ts";
export * from "./is_framed.ts";
export * from "./misdirected_status.ts";
export * from "./open_exchange.ts";
export * from "./send_json.ts";
export * from "./send_request.ts";
export * from "./stream_limit.ts";
