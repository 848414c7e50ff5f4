/**
 * Scheduling of the orders by which engines load the newest weight versions.
 *
 * @example
 * ```ts
 * import * as weightOrders from "../weight_orders/mod.ts";
 * new weightOrders.WeightOrders(options).start();
 * ```
 * @module
 */
export * from "./assign_engines.ts";
export * from "./engine_tracker.ts";
export * from "./order_client.ts";
export * from "./plan_version.ts";
export * from "./weight_order_scheduler.ts";
