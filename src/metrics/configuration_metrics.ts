import * as prometheus from "prom-client";

/** Upper bounds of the delay buckets, in ms. */
const BUCKETS_MS = [10, 25, 50, 100, 250, 500, 1_000, 2_000, 4_000, 8_000];

/** A configuration that was put in force. */
export interface AdoptedConfiguration {
  readonly version: number;
  /** How it reached the box. */
  readonly source: string;
  /** Time since the operator's call, in ms; undefined if it is not known. */
  readonly ageMs: number | undefined;
}

/** Metrics of the configuration in force on a box. */
export class ConfigurationMetrics {
  readonly #version: prometheus.Gauge<string>;
  readonly #delayMs: prometheus.Histogram<"source">;
  readonly #behindMs: prometheus.Gauge<string>;
  readonly #unreadable: prometheus.Counter<string>;

  constructor(registry: prometheus.Registry) {
    const registers = [registry];
    this.#version = new prometheus.Gauge({
      name: "hoistscale_configuration_version",
      help: "Version of the configuration in force",
      registers,
    });
    this.#delayMs = new prometheus.Histogram({
      name: "hoistscale_configuration_delay_ms",
      help: "Time from an operator's call until its configuration is in force",
      labelNames: ["source"],
      buckets: BUCKETS_MS,
      registers,
    });
    this.#behindMs = new prometheus.Gauge({
      name: "hoistscale_configuration_behind_ms",
      help: "Time for which a newer version is known and not in force",
      registers,
    });
    this.#unreadable = new prometheus.Counter({
      name: "hoistscale_configurations_unreadable_total",
      help: "Received configurations that this build can't decode",
      registers,
    });
  }

  recordAdopted({ version, source, ageMs }: AdoptedConfiguration): void {
    this.#version.set(version);
    if (ageMs !== undefined) this.#delayMs.observe({ source }, ageMs);
  }

  /** Sets the time for which a newer version is known, in ms; 0 for none. */
  setBehindMs(behindMs: number): void {
    this.#behindMs.set(behindMs);
  }

  countUnreadable(): void {
    this.#unreadable.inc();
  }
}
