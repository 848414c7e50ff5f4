import * as hotShots from "hot-shots";

/** Names of the StatsD metrics, without their prefix; see docs/metrics.md. */
export type MetricName =
  | "caller.requests"
  | "caller.failures"
  | "caller.ms"
  | "caller.retries"
  | "box_list.unread"
  | "order.sent"
  | "sample.bound"
  | "sample.discarded";

/** The StatsD server that receives the metrics. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly enabled: boolean;
}

/** Sends counters and timings to a StatsD server over UDP. */
export class Metrics {
  readonly #client: hotShots.StatsD | undefined;

  constructor(options: MetricsOptions) {
    if (!options.enabled) return;
    this.#client = new hotShots.StatsD({
      host: options.host,
      port: options.port,
      prefix: "hoistscale.",
      maxBufferSize: 1_400,
      bufferFlushInterval: 1_000,
      errorHandler: () => {},
    });
  }

  /** Increments a counter. */
  count(name: MetricName, by = 1): void {
    this.#client?.increment(name, by);
  }

  /** Records a duration in ms. */
  recordMs(name: MetricName, valueMs: number): void {
    this.#client?.timing(name, valueMs);
  }

  close(): void {
    this.#client?.close();
  }
}
