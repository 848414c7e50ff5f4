/**
 * Discovery of the boxes of a deployment from seeds, and the gossip protocol by
 * which they exchange box records, server reports and the configuration.
 *
 * @example
 * ```ts
 * import * as fleet from "../fleet/mod.ts";
 * const directory = new fleet.BoxDirectory(clock);
 * const gossip = new fleet.FleetGossip({ directory, ...options });
 * gossip.start();
 * ```
 * @module
 */
export * from "./box_directory.ts";
export * from "./box_record.ts";
export * from "./failure_recorder.ts";
export * from "./fleet_gossip.ts";
export * from "./protocol.ts";
export * from "./peer_pool.ts";
