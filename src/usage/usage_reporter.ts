import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as duties from "../duty/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";
import type * as usageStates from "./usage_state.ts";
import * as stepFilteredClocks from "./_step_filtered_clock.ts";
import * as usageTotals from "./usage_totals.ts";
import * as usageWindows from "./usage_window.ts";

/** Between two looks at what is to be agreed on and reported, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Longest wait for a commit, in ms. */
const COMMIT_TIMEOUT_MS = 1_000;
/**
 * Time for which a new leader awaits what boxes tell it, in ms. They learn of it
 * within some 500 ms and tell it within 300 more.
 */
const COLLECT_DELAY_MS = 1_500;
/** Pause after a report that was not taken, in ms; it doubles up to the most. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/** Closed windows whose totals are kept, to tell late ones from repeated ones. */
const RETAINED_WINDOWS = 4;
/** Statuses after which the same report may still be taken. */
const TOO_MANY_REQUESTS_STATUS = 429;
const FIRST_SERVER_ERROR_STATUS = 500;

/** What a usage reporter needs. */
export interface UsageReporterOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly server: rpc.MethodRegistry;
  readonly group: replicaGroups.ReplicaGroup;
  readonly duty: duties.DutyLease;
  readonly state: usageStates.UsageState;
  readonly times: usageWindows.WindowTimings;
  /** Address of the infrastructure. */
  readonly endpoint: fleetSettings.Endpoint;
}

/**
 * Gathers what boxes counted, has the counts of each window agreed on once it
 * has settled, and reports them; one box at a time does.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #filteredClock: stepFilteredClocks.StepFilteredClock;
  readonly #totals = new usageTotals.UsageTotals();
  #isBusy = false;
  #isStopped = false;
  #backoffMs = INITIAL_BACKOFF_MS;
  #retryAtMs = 0;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#filteredClock = new stepFilteredClocks.StepFilteredClock(
      options.clock,
    );
    options.server.add(
      protocol.METHODS.tell,
      (request: protocol.TotalsRequest) => this.#handleTotals(request),
    );
  }

  start(): void {
    if (this.#isStopped) return;
    if (!this.#isBusy) void this.#runOnce();
    this.#options.clock.startTimer(CHECK_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #handleTotals(
    { source, totals }: protocol.TotalsRequest,
  ): protocol.TotalsReply {
    const { group, state: state, log, clock, times } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const lastClosed = state.getLastClosed();
    const closedThrough = lastClosed ?? Number.NEGATIVE_INFINITY;
    const wallMs = clock.getWallMs();
    const valid = totals.filter((total) =>
      usageTotals.isPlausible(total, wallMs, times)
    );
    if (valid.length < totals.length) {
      log.write("warn", "usage.nonsense", {
        source,
        totals: totals.length - valid.length,
      });
    }
    const updated = valid.filter((total) => this.#totals.merge(source, total));
    const late = updated.filter(({ window }) => window <= closedThrough);
    if (late.length > 0) {
      log.write("info", "usage.late", {
        source,
        lastClosed,
        totals: late.length,
      });
    }
    return { kind: "done", lastClosed };
  }

  async #runOnce(): Promise<void> {
    if (!this.#options.duty.canAct()) return;
    this.#isBusy = true;
    try {
      await this.#closeDueWindows();
      this.#updateAgeMetric();
      await this.#reportOldest();
    } finally {
      this.#isBusy = false;
    }
  }

  #updateAgeMetric(): void {
    const { state: state, metrics, clock, times } = this.#options;
    const [oldest] = state.listUnreported();
    const ageMs = oldest === undefined
      ? 0
      : clock.getWallMs() - (oldest.window + 1) * times.windowMs;
    metrics.setUnreportedUsageMs(ageMs);
  }

  async #closeDueWindows(): Promise<void> {
    const { duty, state: state, times, log } = this.#options;
    const wallMs = this.#filteredClock.getWallMs();
    if (duty.getReignMs() < COLLECT_DELAY_MS) return;
    const due = usageWindows.listDueWindows(
      state.getLastClosed(),
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
      this.#totals.discardThrough(window - RETAINED_WINDOWS);
    }
  }

  /** Reports the oldest window; what is sent was agreed on before. */
  async #reportOldest(): Promise<void> {
    const { clock, duty, state: state, dialect, endpoint, log, times } =
      this.#options;
    const [next] = state.listUnreported();
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
    if (!isFinal(outcome)) return this.#scheduleRetry();
    this.#backoffMs = INITIAL_BACKOFF_MS;
    await this.#propose({ kind: "noteUsageReported", window });
  }

  #scheduleRetry(): void {
    this.#retryAtMs = this.#options.clock.getMonotonicMs() + this.#backoffMs;
    this.#backoffMs = Math.min(2 * this.#backoffMs, MAX_BACKOFF_MS);
  }

  async #propose(command: usageStates.UsageCommand): Promise<boolean> {
    const result = await this.#options.group.propose(
      command,
      COMMIT_TIMEOUT_MS,
    );
    return result.kind === "ok";
  }
}

/** Whether a report was taken, or refused so that repeating it is no use. */
function isFinal(outcome: duties.DutyCallOutcome): boolean {
  switch (outcome.kind) {
    case "taken":
      return true;
    case "refused":
      return outcome.status !== TOO_MANY_REQUESTS_STATUS &&
        outcome.status < FIRST_SERVER_ERROR_STATUS;
    case "unanswered":
      return false;
  }
}
