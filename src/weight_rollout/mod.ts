/**
 * Weight rollouts: plans which engines load a new weight version now.
 *
 * @example
 * ```ts
 * import * as rollouts from "../weight_rollout/mod.ts";
 * rollouts.planOrders(engines, targets, { maxSwapFraction: 0.5, nowMs: 0 });
 * ```
 * @module
 */
export * from "./plan_orders.ts";
