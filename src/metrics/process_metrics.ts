import * as prometheus from "prom-client";

/** Metrics of a box's process itself. */
export class ProcessMetrics {
  readonly #droppedLogLines: prometheus.Gauge<string>;
  readonly #failedMessages: prometheus.Counter<"method">;
  readonly #stalledMs: prometheus.Counter<string>;
  readonly #busyShare: prometheus.Gauge<string>;

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
    this.#busyShare = new prometheus.Gauge({
      name: "hoistscale_event_loop_busy",
      help: "Share of the time for which the event loop is busy, from 0 to 1",
      registers,
    });
  }

  setDroppedLogLines(lines: number): void {
    this.#droppedLogLines.set(lines);
  }

  countFailedMessage(method: string): void {
    this.#failedMessages.inc({ method });
  }

  /** Sets the share of the time for which the event loop is busy. */
  setBusyShare(share: number): void {
    this.#busyShare.set(share);
  }

  /** Adds a time for which the process was not run, in ms. */
  addStalledMs(durationMs: number): void {
    this.#stalledMs.inc(durationMs);
  }
}
