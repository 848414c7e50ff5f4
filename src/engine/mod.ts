/**
 * Client of the model engines: status reports, orders, cache events and token
 * streams.
 *
 * @example
 * ```ts
 * import * as engines from "../engine/mod.ts";
 * await engines.readReport(server);
 * ```
 * @module
 */
export * from "./cache_events.ts";
export * from "./engine_client.ts";
export * from "./event_reader.ts";
export * from "./stream_completion.ts";
