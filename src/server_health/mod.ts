/**
 * How sound backend servers have proved lately, from the outcome of tries.
 *
 * @example
 * ```ts
 * import * as serverHealth from "../server_health/mod.ts";
 * const failures = new serverHealth.FailureShares(clock);
 * failures.note("i-1", false);
 * failures.get("i-1"); // 0.3, fading
 * ```
 * @module
 */
export * from "./failure_rates.ts";
