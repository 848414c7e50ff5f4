/**
 * The administration API for operators.
 *
 * @example
 * ```ts
 * import * as operators from "../operator/mod.ts";
 * await new operators.OperatorListener(options).start();
 * ```
 * @module
 */
export * from "./check_access.ts";
export * from "./operator_listener.ts";
export * from "./operator_routes.ts";
export * from "./operator_service.ts";
