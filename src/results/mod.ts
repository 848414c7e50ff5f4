/**
 * Results that are a value or a failure, and the result codes.
 *
 * @example
 * ```ts
 * import * as results from "../results/mod.ts";
 * results.createFailure("badToken", "Cannot admit the call: no token");
 * ```
 * @module
 */
export * from "./failure_error.ts";
export * from "./result.ts";
export * from "./result_code.ts";
