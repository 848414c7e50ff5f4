/**
 * Schedules the items of open steps onto engine slots. Pure functions: nothing
 * here reads a clock, starts a timer or does I/O.
 *
 * @example
 * ```ts
 * import * as stepSchedule from "../step_schedule/mod.ts";
 * const plan = stepSchedule.planSteps(input, policy);
 * ```
 * @module
 */
export * from "./compute_required_slots.ts";
export * from "./plan_steps.ts";
export * from "./schedule_types.ts";
