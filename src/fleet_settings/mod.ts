/**
 * Settings of a box that discovers the others from seeds.
 *
 * @example
 * ```ts
 * import * as fleetSettings from "../fleet_settings/mod.ts";
 * const loaded = fleetSettings.loadFleetSettings("box.yaml");
 * ```
 * @module
 */
export * from "./fleet_settings.ts";
export * from "./load_fleet_settings.ts";
