/**
 * A box of a fleet that is found from seeds, all parts together.
 *
 * @example
 * ```ts
 * import * as fleetDaemons from "../fleet_daemon/mod.ts";
 * process.exitCode = await fleetDaemons.runBox("box.yaml", dialect);
 * ```
 * @module
 */
export * from "./box_components.ts";
export * from "./caller_handler.ts";
export * from "./control_handler.ts";
export * from "./entry_box.ts";
export * from "./fleet_daemon.ts";
export * from "./_raw_listener.ts";
export * from "./run_box.ts";
export * from "./store_box.ts";
