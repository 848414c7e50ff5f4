/**
 * Recent failure rates of backend servers, computed from request outcomes.
 *
 * @example
 * ```ts
 * import * as serverHealth from "../server_health/mod.ts";
 * const failures = new serverHealth.FailureRates(clock);
 * failures.record("i-1", false);
 * failures.get("i-1"); // 0.3, decays over time
 * ```
 * @module
 */
export * from "./failure_rates.ts";
