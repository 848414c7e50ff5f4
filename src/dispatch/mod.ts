/**
 * Dispatches the items of accepted submissions to engines, has the texts scored
 * and records the results.
 *
 * @example
 * ```ts
 * import * as dispatch from "../dispatch/mod.ts";
 * const dispatcher = new dispatch.Dispatcher(options);
 * dispatcher.start();
 * ```
 * @module
 */
export * from "./choose_engine.ts";
export * from "./describe_steps.ts";
export * from "./dispatcher.ts";
export * from "./engine_table.ts";
export * from "./item_finisher.ts";
export * from "./item_task.ts";
export * from "./length_estimator.ts";
export * from "./phase_times.ts";
export * from "./placement_round.ts";
export * from "./plan_moves.ts";
export * from "./result_writer.ts";
export * from "./run_mover.ts";
export * from "./step_progress.ts";
export * from "./task_table.ts";
export * from "./text_replicator.ts";
export * from "./waiting_order.ts";
