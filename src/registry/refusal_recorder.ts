import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";

/** Why a report names no server to use. */
export type RefusalReason =
  /** Its bytes can't be read. */
  | "bytes"
  /** A field is missing, or of another type. */
  | "field"
  /** Its state is none that is known. */
  | "state"
  /** Its service is in no configuration, or not the one of this start. */
  | "service"
  /** It names another address than this start has. */
  | "address"
  /** Its start lies too far ahead. */
  | "start";

/** A report that was not taken. */
export interface ReportRefusal {
  /** Id under which it came, as far as that can be told. */
  readonly server: string;
  readonly reason: RefusalReason;
  /** Field at fault; empty where the whole can't be read. */
  readonly field: string;
}

/** A report that was read, or why it can't be. */
export type ParsedReport<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "refused"; readonly refusal: ReportRefusal };

/** What the note of refused reports needs. */
export interface RefusalRecorderOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: {
    countRefusedReport(reason: RefusalReason): void;
  };
}

/** Time in which a server's fault is logged once, in ms. */
const LOG_INTERVAL_MS = 10_000;
/** Faults that are logged in that time at most, whatever bears them. */
const MAX_LOGGED_REFUSALS = 32;
/** Characters of an id or a field in a log line at most. */
const MAX_TEXT_LENGTH = 80;

/**
 * Counts reports that were not taken, and logs them within bounds: another
 * writer may send any number under any name.
 */
export class RefusalRecorder {
  readonly #options: RefusalRecorderOptions;
  readonly #logged = new Set<string>();
  #intervalStartMs = Number.NEGATIVE_INFINITY;

  constructor(options: RefusalRecorderOptions) {
    this.#options = options;
  }

  /** Counts a refused report, and logs it where its fault is news. */
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
