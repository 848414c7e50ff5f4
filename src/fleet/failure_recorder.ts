import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";

/** Dependencies of a `FailureRecorder`. */
export interface FailureRecorderOptions {
  readonly log: Pick<logs.Log, "write">;
  readonly metrics: Pick<metrics.FleetMetrics, "process">;
}

/** Logs and counts messages of other boxes that could not be handled. */
export class FailureRecorder {
  readonly #options: FailureRecorderOptions;

  constructor(options: FailureRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records a failure.
   *
   * @param method RPC method of the message.
   * @param error What its handler threw.
   */
  record(method: string, error: unknown): void {
    const { log, metrics } = this.#options;
    metrics.process.countFailedMessage(method);
    const { stack, message } = error as Error;
    log.write("error", "message.failed", { method, message: stack ?? message });
  }
}
