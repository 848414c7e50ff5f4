/**
 * Requests sent on to backend servers, with a true outcome for each.
 *
 * @example
 * ```ts
 * import * as forwarding from "../forwarding/mod.ts";
 * const outcome = await new forwarding.Forwarder(options).send(job);
 * ```
 * @module
 */
export type { AttemptOptions } from "./_attempt.ts";
export * from "./choose_server.ts";
export * from "./forward_job.ts";
export * from "./forwarder.ts";
export * from "./forwarder_options.ts";
export * from "./server_loads.ts";
