/**
 * Steps and samples: each slot of a step is bound once, to one fresh sample.
 *
 * @example
 * ```ts
 * import * as steps from "../rollout_step/mod.ts";
 * steps.appendToken([], 3);
 * ```
 * @module
 */
export * from "./rollout_step.ts";
export * from "./sample.ts";
