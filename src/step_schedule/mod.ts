/**
 * In which order the items of open steps get places at engines, decided without
 * clock, socket or timer.
 *
 * @example
 * ```ts
 * import * as stepSchedule from "../step_schedule/mod.ts";
 * const plan = stepSchedule.planSteps(situation, policy);
 * ```
 * @module
 */
export * from "./compute_required_slots.ts";
export * from "./plan_steps.ts";
export * from "./schedule_types.ts";
