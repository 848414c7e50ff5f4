/**
 * Forwards requests to backend servers with retries, hedging and queueing, and
 * reports for each whether it was answered, may have run, or did not run.
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
