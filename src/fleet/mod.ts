/**
 * The boxes of a deployment, found from seeds, and the news they spread.
 *
 * @example
 * ```ts
 * import * as fleet from "../fleet/mod.ts";
 * const directory = new fleet.BoxDirectory(clock);
 * const link = new fleet.FleetLink({ directory, ...options });
 * link.start();
 * ```
 * @module
 */
export * from "./box_directory.ts";
export * from "./box_record.ts";
export * from "./fleet_gossip.ts";
export * from "./protocol.ts";
export * from "./peer_pool.ts";
