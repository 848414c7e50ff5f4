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
export type ReportReading<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "refused"; readonly refusal: ReportRefusal };

/** What the note of refused reports needs. */
export interface RefusedReportsOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: {
    countRefusedReport(reason: RefusalReason): void;
  };
}

/** Time in which a server's fault is logged once, in ms. */
const REPEAT_MS = 10_000;
/** Faults that are logged in that time at most, whatever bears them. */
const MAX_LINES = 32;
/** Characters of an id or a field in a log line at most. */
const MAX_CHARACTERS = 80;

/**
 * Counts reports that were not taken, and logs them within bounds: another
 * writer may send any number under any name.
 */
export class RefusedReports {
  readonly #options: RefusedReportsOptions;
  readonly #logged = new Set<string>();
  #sinceMs = Number.NEGATIVE_INFINITY;

  constructor(options: RefusedReportsOptions) {
    this.#options = options;
  }

  /** Counts a refused report, and logs it where its fault is news. */
  note({ server, reason, field }: ReportRefusal): void {
    const { clock, log, metrics } = this.#options;
    metrics.countRefusedReport(reason);
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#sinceMs >= REPEAT_MS) {
      this.#sinceMs = nowMs;
      this.#logged.clear();
    }
    const fault = `${reason} ${trimText(field)} ${trimText(server)}`;
    if (this.#logged.size >= MAX_LINES || this.#logged.has(fault)) return;
    this.#logged.add(fault);
    log.write("warn", "report.refused", {
      server: trimText(server),
      reason,
      field: trimText(field),
    });
  }
}

function trimText(text: string): string {
  return text.slice(0, MAX_CHARACTERS);
}
