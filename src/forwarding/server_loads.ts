import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverHealth from "../server_health/mod.ts";

/** Weight of the newest duration in a server's moving mean. */
const SMOOTHING_FACTOR = 0.2;
/** Mean duration assumed for a server without history, in ms. */
const INITIAL_MEAN_MS = 40;
/** Age after which a reported load is ignored, in ms. */
const MAX_REPORT_AGE_MS = 1_000;
/**
 * Time constant with which a reported slowness decays to 1, in ms. Interference
 * by other processes on a server's box changes within fractions of a second.
 */
const SLOWNESS_DECAY_MS = 500;
/** Time for which a server is avoided after it broke a request, in ms. */
const AVOID_DURATION_MS = 1_500;

/**
 * Time for which a server counts as full after it refused a request, in ms,
 * unless it answers another request earlier; about the time in which one of its
 * slots becomes free.
 */
const FULL_DURATION_MS = 25;

/** Latency that a failed attempt adds for its caller, in ms. */
const FAILURE_COST_MS = 250;

interface TrackedLoad {
  /** Requests of this box that the server is running. */
  readonly running: number;
  /** Mean duration of requests at normal speed (slowness 1), in ms. */
  readonly meanMs: number;
  /** Last reported factor by which work takes longer than usual. */
  readonly reportedSlowness: number;
  /** Last reported number of running and waiting requests of other boxes. */
  readonly reportedByOthers: number;
  /** Time of the last report, in monotonic ms. */
  readonly reportedAtMs: number;
  /** Time until which the server is avoided, in monotonic ms. */
  readonly avoidUntilMs: number;
  /** Time until which the server counts as full, in monotonic ms. */
  readonly fullUntilMs: number;
}

const NO_LOAD: TrackedLoad = {
  running: 0,
  meanMs: INITIAL_MEAN_MS,
  reportedSlowness: 1,
  reportedByOthers: 0,
  reportedAtMs: Number.NEGATIVE_INFINITY,
  avoidUntilMs: Number.NEGATIVE_INFINITY,
  fullUntilMs: Number.NEGATIVE_INFINITY,
};

/**
 * Load and latency of backend servers as seen by this box. State is kept per
 * server lifetime, so a restarted server begins without load or history.
 */
export class ServerLoads {
  readonly #clock: clocks.Clock;
  readonly #loads = new Map<registry.LifetimeKey, TrackedLoad>();
  readonly #failureRates: serverHealth.FailureRates;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
    this.#failureRates = new serverHealth.FailureRates(clock);
  }

  /** Records that a request was sent to a server. */
  recordStart(server: registry.LifetimeKey): void {
    const load = this.#get(server);
    this.#loads.set(server, { ...load, running: load.running + 1 });
  }

  /**
   * Records that a request to a server ended. The duration is divided by the
   * slowness, so that temporary interference does not raise the mean duration.
   *
   * @param server Lifetime of the server.
   * @param durationMs Time until the answer, in ms; undefined if unanswered.
   * @param slowness Factor by which work took longer than usual, as reported.
   */
  recordEnd(
    server: registry.LifetimeKey,
    durationMs: number | undefined,
    slowness = 1,
  ): void {
    const load = this.#get(server);
    const meanMs = durationMs === undefined
      ? load.meanMs
      : load.meanMs + (durationMs / slowness - load.meanMs) * SMOOTHING_FACTOR;
    const fullUntilMs = durationMs === undefined
      ? load.fullUntilMs
      : Number.NEGATIVE_INFINITY;
    this.#loads.set(server, {
      ...load,
      running: load.running - 1,
      meanMs,
      fullUntilMs,
    });
  }

  /**
   * Records that a request ended without an answer. If `elapsedMs` is above the
   * mean duration it is added to the mean, as a lower bound of the true latency.
   */
  recordUnanswered(server: registry.LifetimeKey, elapsedMs: number): void {
    const isSlow = elapsedMs > this.#get(server).meanMs;
    this.recordEnd(server, isSlow ? elapsedMs : undefined);
  }

  /** Records whether an attempt produced a usable answer. */
  recordOutcome(server: registry.LifetimeKey, isSuccess: boolean): void {
    this.#failureRates.record(server, isSuccess);
  }

  /** Records a reported load, without the requests of this box itself. */
  recordReport(
    server: registry.LifetimeKey,
    report: dialects.ServerLoad,
  ): void {
    const load = this.#get(server);
    const reportedByOthers = Math.max(
      0,
      report.running + report.waiting - load.running,
    );
    const reportedAtMs = this.#clock.getMonotonicMs();
    const reportedSlowness = report.slowness;
    this.#loads.set(server, {
      ...load,
      reportedByOthers,
      reportedSlowness,
      reportedAtMs,
    });
  }

  /** Avoids a server for a while, after it broke a request. */
  avoid(server: registry.LifetimeKey): void {
    const avoidUntilMs = this.#clock.getMonotonicMs() + AVOID_DURATION_MS;
    this.#loads.set(server, { ...this.#get(server), avoidUntilMs });
  }

  /** Marks a server that refused a request as full. */
  markFull(server: registry.LifetimeKey): void {
    const fullUntilMs = this.#clock.getMonotonicMs() + FULL_DURATION_MS;
    this.#loads.set(server, { ...this.#get(server), fullUntilMs });
  }

  isFull(server: registry.LifetimeKey): boolean {
    return this.#get(server).fullUntilMs > this.#clock.getMonotonicMs();
  }

  isAvoided(server: registry.LifetimeKey): boolean {
    return this.#get(server).avoidUntilMs > this.#clock.getMonotonicMs();
  }

  /** Estimates the latency of a new request at a server, in ms. */
  estimateLatencyMs(server: registry.RegisteredServer): number {
    const load = this.#get(server.lifetime);
    const utilization = this.#countRequests(server) / Math.max(1, server.slots);
    const failureMs = this.#failureRates.get(server.lifetime) * FAILURE_COST_MS;
    const workMs = load.meanMs * this.#getSlowness(load) * (1 + utilization);
    return workMs + server.coldMs + failureMs;
  }

  /** Returns the reported slowness, decayed towards 1 with its age. */
  #getSlowness(
    { reportedSlowness, reportedAtMs }: TrackedLoad,
  ): number {
    const ageMs = this.#clock.getMonotonicMs() - reportedAtMs;
    return 1 + (reportedSlowness - 1) * Math.exp(-ageMs / SLOWNESS_DECAY_MS);
  }

  /** Whether a server has a free slot, as far as this box knows. */
  hasFreeSlot(server: registry.RegisteredServer): boolean {
    return this.#countRequests(server) < Math.max(1, server.slots);
  }

  /** Counts the requests at a server: this box's own and reported others. */
  #countRequests(server: registry.RegisteredServer): number {
    const load = this.#get(server.lifetime);
    const isReportFresh =
      this.#clock.getMonotonicMs() - load.reportedAtMs < MAX_REPORT_AGE_MS;
    return load.running + (isReportFresh ? load.reportedByOthers : 0);
  }

  /** Returns the mean duration of requests at a server, in ms. */
  getMeanDurationMs(server: registry.LifetimeKey): number {
    return this.#get(server).meanMs;
  }

  #get(server: registry.LifetimeKey): TrackedLoad {
    return this.#loads.get(server) ?? NO_LOAD;
  }
}
