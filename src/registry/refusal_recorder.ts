import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";

/** Why a report was refused. */
export type RefusalReason =
  /** It can't be parsed. */
  | "bytes"
  /** A field is missing or has the wrong type. */
  | "field"
  /** Its state is unknown. */
  | "state"
  /** Its service isn't configured, or differs from earlier reports. */
  | "service"
  /** Its address differs from earlier reports of the same lifetime. */
  | "address"
  /** Its start time is too far in the future. */
  | "start";

/** A refused report. */
export interface ReportRefusal {
  /** Server id from the report, as far as it is known. */
  readonly server: string;
  readonly reason: RefusalReason;
  /** Invalid field; empty if the report can't be parsed. */
  readonly field: string;
}

/** A parsed report, or why it was refused. */
export type ParsedReport<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "refused"; readonly refusal: ReportRefusal };

/** Dependencies of a `RefusalRecorder`. */
export interface RefusalRecorderOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: {
    countRefusedReport(reason: RefusalReason): void;
  };
}

/** Interval in which equal refusals are logged once, in ms. */
const LOG_INTERVAL_MS = 10_000;
/** Most refusals that are logged in that interval. */
const MAX_LOGGED_REFUSALS = 32;
/** Most characters of an id or a field in a log line. */
const MAX_TEXT_LENGTH = 80;

/** Counts refused reports and logs them at a limited rate. */
export class RefusalRecorder {
  readonly #options: RefusalRecorderOptions;
  readonly #logged = new Set<string>();
  #intervalStartMs = Number.NEGATIVE_INFINITY;

  constructor(options: RefusalRecorderOptions) {
    this.#options = options;
  }

  /** Counts a refused report, and logs it unless it repeats a recent one. */
  record({ server, reason, field }: ReportRefusal): void {
    const { clock, log, metrics } = this.#options;
    metrics.countRefusedReport(reason);
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#intervalStartMs >= LOG_INTERVAL_MS) {
      this.#intervalStartMs = nowMs;
      this.#logged.clear();
    }
    const refusalKey = `${reason} ${truncateText(field)} ${
      truncateText(server)
    }`;
    if (
      this.#logged.size >= MAX_LOGGED_REFUSALS || this.#logged.has(refusalKey)
    ) return;
    this.#logged.add(refusalKey);
    log.write("warn", "report.refused", {
      server: truncateText(server),
      reason,
      field: truncateText(field),
    });
  }
}

function truncateText(text: string): string {
  return text.slice(0, MAX_TEXT_LENGTH);
}
