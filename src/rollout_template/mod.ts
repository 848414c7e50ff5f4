/**
 * Rollout templates: their parameters, and checks of changes to them.
 *
 * @example
 * ```ts
 * import * as templates from "../rollout_template/mod.ts";
 * templates.checkParameters(undefined, { trainer: "t", model: "m" });
 * ```
 * @module
 */
export * from "./rollout_template.ts";
