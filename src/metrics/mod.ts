/**
 * Metrics for StatsD over UDP and for Prometheus over HTTP.
 *
 * @example
 * ```ts
 * import * as metrics from "../metrics/mod.ts";
 * new metrics.Metrics({ host: "127.0.0.1", port: 8125, enabled: false });
 * ```
 * @module
 */
export * from "./configuration_metrics.ts";
export * from "./metrics.ts";
export * from "./fleet_metrics.ts";
export * from "./process_metrics.ts";
export * from "./replica_metrics.ts";
