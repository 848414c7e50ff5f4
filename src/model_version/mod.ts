/**
 * Weight versions of models, which only increase.
 *
 * @example
 * ```ts
 * import * as models from "../model_version/mod.ts";
 * models.isNewer(undefined, 1);
 * ```
 * @module
 */
export * from "./get_service_name.ts";
export * from "./model_version.ts";
