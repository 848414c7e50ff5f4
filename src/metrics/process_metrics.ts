import * as prometheus from "prom-client";

/** Metrics of a box's process itself. */
export class ProcessMetrics {
  readonly #droppedLogLines: prometheus.Gauge<string>;
  readonly #failedMessages: prometheus.Counter<"method">;
  readonly #stalledMs: prometheus.Counter<string>;

  constructor(registry: prometheus.Registry) {
    const registers = [registry];
    this.#droppedLogLines = new prometheus.Gauge({
      name: "hoistscale_log_lines_lost",
      help: "Log lines dropped because the output was not read",
      registers,
    });
    this.#failedMessages = new prometheus.Counter({
      name: "hoistscale_messages_failed_total",
      help: "Messages of other boxes whose handler threw an error",
      labelNames: ["method"],
      registers,
    });
    this.#stalledMs = new prometheus.Counter({
      name: "hoistscale_stalled_ms_total",
      help: "Time for which the process was not run when it should have been",
      registers,
    });
  }

  setDroppedLogLines(lines: number): void {
    this.#droppedLogLines.set(lines);
  }

  countFailedMessage(method: string): void {
    this.#failedMessages.inc({ method });
  }

  /** Adds a time for which the process was not run, in ms. */
  addStalledMs(durationMs: number): void {
    this.#stalledMs.inc(durationMs);
  }
}
