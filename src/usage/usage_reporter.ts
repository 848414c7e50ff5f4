import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as duties from "../duty/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";
import type * as usageBooks from "./usage_book.ts";
import * as steadyTimes from "./_steady_time.ts";
import * as usageTallies from "./usage_tally.ts";
import * as usageWindows from "./usage_window.ts";

/** Between two looks at what is to be agreed on and reported, in ms. */
const TICK_MS = 200;
/** Longest wait for a commit, in ms. */
const COMMIT_MS = 1_000;
/**
 * Time for which a new leader awaits what boxes tell it, in ms. They learn of it
 * within some 500 ms and tell it within 300 more.
 */
const COLLECT_MS = 1_500;
/** Pause after a report that was not taken, in ms; it doubles up to the most. */
const RETRY_MS = 250;
const MAX_RETRY_MS = 2_000;
/** Closed windows whose totals are kept, to tell late ones from repeated ones. */
const KEPT_WINDOWS = 4;
/** Statuses after which the same report may still be taken. */
const BUSY_STATUS = 429;
const FIRST_SERVER_ERROR = 500;

/** What a usage reporter needs. */
export interface UsageReporterOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly server: rpc.MethodRegistry;
  readonly group: replicaGroups.ReplicaGroup;
  readonly duty: duties.DutyLease;
  readonly book: usageBooks.UsageBook;
  readonly times: usageWindows.WindowTimes;
  /** Address of the infrastructure. */
  readonly endpoint: fleetSettings.Endpoint;
}

/**
 * Gathers what boxes counted, has the counts of each window agreed on once it
 * has settled, and reports them; one box at a time does.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #time: steadyTimes.SteadyTime;
  readonly #totals = new usageTallies.UsageTotals();
  #isBusy = false;
  #isStopped = false;
  #pauseMs = RETRY_MS;
  #retryAtMs = 0;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#time = new steadyTimes.SteadyTime(options.clock);
    options.server.add(
      protocol.METHODS.tell,
      (request: protocol.TellRequest) => this.#take(request),
    );
  }

  start(): void {
    if (this.#isStopped) return;
    if (!this.#isBusy) void this.#act();
    this.#options.clock.startTimer(TICK_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #take({ source, totals }: protocol.TellRequest): protocol.TellReply {
    const { group, book, log, clock, times } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const lastClosed = book.getLastClosed();
    const closed = lastClosed ?? Number.NEGATIVE_INFINITY;
    const wallMs = clock.getWallMs();
    const sound = totals.filter((total) =>
      usageTallies.isPlausible(total, wallMs, times)
    );
    if (sound.length < totals.length) {
      log.write("warn", "usage.nonsense", {
        source,
        totals: totals.length - sound.length,
      });
    }
    const news = sound.filter((total) => this.#totals.merge(source, total));
    const late = news.filter(({ window }) => window <= closed);
    if (late.length > 0) {
      log.write("info", "usage.late", {
        source,
        lastClosed,
        totals: late.length,
      });
    }
    return { kind: "done", lastClosed };
  }

  async #act(): Promise<void> {
    if (!this.#options.duty.canAct()) return;
    this.#isBusy = true;
    try {
      await this.#closeDue();
      this.#measureAge();
      await this.#reportNext();
    } finally {
      this.#isBusy = false;
    }
  }

  #measureAge(): void {
    const { book, metrics, clock, times } = this.#options;
    const [oldest] = book.listUnreported();
    const ageMs = oldest === undefined
      ? 0
      : clock.getWallMs() - (oldest.window + 1) * times.windowMs;
    metrics.setUnreportedUsageMs(ageMs);
  }

  async #closeDue(): Promise<void> {
    const { duty, book, times, log } = this.#options;
    const wallMs = this.#time.getWallMs();
    if (duty.getReignMs() < COLLECT_MS) return;
    const due = usageWindows.listDueWindows(
      book.getLastClosed(),
      wallMs,
      times,
    );
    for (const window of due) {
      const counts = this.#totals.sum(window);
      const isClosed = await this.#propose({
        kind: "closeUsageWindow",
        closed: { window, counts },
      });
      log.write("info", "usage.closed", {
        window,
        accounts: Object.keys(counts).length,
        requests: Object.values(counts).reduce((sum, count) => sum + count, 0),
        isAgreed: isClosed,
      });
      if (!isClosed) return;
      this.#totals.forgetThrough(window - KEPT_WINDOWS);
    }
  }

  /** Reports the oldest window; what is sent was agreed on before. */
  async #reportNext(): Promise<void> {
    const { clock, duty, book, dialect, endpoint, log, times } = this.#options;
    const [next] = book.listUnreported();
    if (next === undefined || clock.getMonotonicMs() < this.#retryAtMs) return;
    const { window } = next;
    if (window < usageWindows.getOldestWindow(clock.getWallMs(), times)) {
      log.write("error", "usage.abandoned", { window });
      return void await this.#propose({ kind: "noteUsageReported", window });
    }
    const request = dialect.createUsageReport({
      ...next,
      holder: duty.getName(),
      fence: duty.getFence(),
    });
    if (!duty.canAct()) return;
    const outcome = await duties.sendDutyCall(endpoint, request);
    log.write("info", "usage.reported", {
      window,
      fence: duty.getFence(),
      ageMs: Math.round(clock.getWallMs() - (window + 1) * times.windowMs),
      outcome: outcome.kind,
      status: "status" in outcome ? outcome.status : undefined,
      reason: "reason" in outcome ? outcome.reason : undefined,
    });
    if (!isSettled(outcome)) return this.#schedulePause();
    this.#pauseMs = RETRY_MS;
    await this.#propose({ kind: "noteUsageReported", window });
  }

  #schedulePause(): void {
    this.#retryAtMs = this.#options.clock.getMonotonicMs() + this.#pauseMs;
    this.#pauseMs = Math.min(2 * this.#pauseMs, MAX_RETRY_MS);
  }

  async #propose(command: usageBooks.UsageCommand): Promise<boolean> {
    const result = await this.#options.group.propose(command, COMMIT_MS);
    return result.kind === "ok";
  }
}

/** Whether a report was taken, or refused so that repeating it is no use. */
function isSettled(outcome: duties.DutyCallOutcome): boolean {
  switch (outcome.kind) {
    case "taken":
      return true;
    case "refused":
      return outcome.status !== BUSY_STATUS &&
        outcome.status < FIRST_SERVER_ERROR;
    case "unanswered":
      return false;
  }
}
