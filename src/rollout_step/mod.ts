/**
 * The step and sample aggregates: each slot gets one fresh sample, once.
 *
 * @example
 * ```ts
 * import * as steps from "../rollout_step/mod.ts";
 * steps.addToken([], 3);
 * ```
 * @module
 */
export * from "./rollout_step.ts";
export * from "./sample.ts";
