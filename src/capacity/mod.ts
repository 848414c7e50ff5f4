/**
 * How many engines run, where and of which kind: planned from the work, ordered
 * by one box at a time.
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
