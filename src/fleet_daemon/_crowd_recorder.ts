import type * as clocks from "../clock/mod.ts";
import type * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as results from "../results/mod.ts";

/** Interval in which equal events at a listener are logged once, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** The listeners of an entry box. */
export type ListenerName = "caller" | "control" | "ready" | "directory";

/** What was done about a client beyond a limit. */
export type CrowdEvent =
  | {
    readonly kind: "connectionClosed";
    readonly reason: httpServer.ClosingReason;
  }
  | { readonly kind: "bodyRefused"; readonly reason: results.ResultCodeName };

/** Dependencies of a `CrowdRecorder`. */
export interface CrowdRecorderOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: {
    countClosedConnection(listener: ListenerName, reason: string): void;
    countRefusedBody(listener: ListenerName, reason: string): void;
  };
}

/** Counts what is done about clients beyond a limit, and logs it at a limited rate. */
export class CrowdRecorder {
  readonly #options: CrowdRecorderOptions;
  /** Events since the last line, and when it was written, by kind of event. */
  readonly #pending = new Map<string, PendingEvents>();

  constructor(options: CrowdRecorderOptions) {
    this.#options = options;
  }

  /** Counts an event; logs it with those since the last line of its kind. */
  record(listener: ListenerName, event: CrowdEvent): void {
    const { clock, log } = this.#options;
    this.#count(listener, event);
    const key = `${listener} ${event.kind} ${event.reason}`;
    const known = this.#pending.get(key);
    const nowMs = clock.getMonotonicMs();
    if (known !== undefined && nowMs - known.loggedAtMs < LOG_INTERVAL_MS) {
      this.#pending.set(key, { ...known, count: known.count + 1 });
      return;
    }
    this.#pending.set(key, { count: 0, loggedAtMs: nowMs });
    log.write("warn", getLineName(event), {
      listener,
      reason: event.reason,
      count: (known?.count ?? 0) + 1,
    });
  }

  /** Records that a body was refused, if reading it failed. */
  recordBody(listener: ListenerName, body: results.Result<Buffer>): void {
    if (body.kind === "ok") return;
    const reason = body.failure.code;
    this.record(listener, { kind: "bodyRefused", reason });
  }

  #count(listener: ListenerName, event: CrowdEvent): void {
    const { metrics } = this.#options;
    switch (event.kind) {
      case "connectionClosed":
        return metrics.countClosedConnection(listener, event.reason);
      case "bodyRefused":
        return metrics.countRefusedBody(listener, event.reason);
    }
  }
}

interface PendingEvents {
  /** Events since the last line. */
  readonly count: number;
  /** Monotonic time of the last line, in ms. */
  readonly loggedAtMs: number;
}

function getLineName(event: CrowdEvent): string {
  switch (event.kind) {
    case "connectionClosed":
      return "connection.closed";
    case "bodyRefused":
      return "body.refused";
  }
}
