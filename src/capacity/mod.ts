/**
 * Autoscaling: plans how many engines should run in each failure domain, and
 * orders them from the infrastructure, one box at a time.
 *
 * @example
 * ```ts
 * import * as capacity from "../capacity/mod.ts";
 * const plans = capacity.planCapacity(situation);
 * ```
 * @module
 */
export * from "./capacity_state.ts";
export * from "./autoscaler.ts";
export * from "./demand_window.ts";
export * from "./plan_capacity.ts";
