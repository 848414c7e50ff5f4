/**
 * Versioned configuration of routes, services and limits.
 *
 * @example
 * ```ts
 * import * as trafficConfig from "../traffic_config/mod.ts";
 * const route = trafficConfig.matchRoute(configuration, host, path);
 * ```
 * @module
 */
export * from "./check_configuration.ts";
export * from "./configuration.ts";
export * from "./configuration_holder.ts";
export * from "./configuration_machine.ts";
export * from "./configuration_service.ts";
export * from "./match_route.ts";
