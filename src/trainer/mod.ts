/**
 * The trainer API: opens steps, delivers samples and acknowledges them.
 *
 * @example
 * ```ts
 * import * as trainers from "../trainer/mod.ts";
 * const service = new trainers.TrainerService(context);
 * ```
 * @module
 */
export * from "./step_feed.ts";
export * from "./trainer_service.ts";
