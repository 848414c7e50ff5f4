import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverHealth from "../server_health/mod.ts";

/** Weight of the newest duration in a server's mean. */
const SMOOTHING_FACTOR = 0.2;
/** Duration that a server without history is taken to need, in ms. */
const INITIAL_MEAN_MS = 40;
/** Age after which a told load says nothing any more, in ms. */
const MAX_REPORT_AGE_MS = 1_000;
/**
 * Time in which a told slowness loses most of its weight, in ms: what neighbours
 * on a machine do changes many times a second.
 */
const SLOWNESS_DECAY_MS = 500;
/** How long a server is passed over after it broke a request, in ms. */
const AVOID_DURATION_MS = 1_500;

/**
 * How long a server that refused because it was full is not asked, in ms, unless
 * it answers something meanwhile; about the time in which one of its places
 * comes free.
 */
const FULL_DURATION_MS = 25;

/** What a failed try costs its caller, in ms: a second try on another server. */
const FAILURE_COST_MS = 250;

interface TrackedLoad {
  readonly running: number;
  /** Mean duration of requests while the server is as fast as usual, in ms. */
  readonly meanMs: number;
  /** How much longer work took than usual when it told last. */
  readonly reportedSlowness: number;
  /** Requests of others that it told of last. */
  readonly reportedByOthers: number;
  readonly reportedAtMs: number;
  readonly avoidUntilMs: number;
  /** Until when it is taken to be full. */
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
 * What this box knows of the load of each start of a backend server: a later
 * start has none of its runs, and proved nothing yet.
 */
export class ServerLoads {
  readonly #clock: clocks.Clock;
  readonly #loads = new Map<registry.LifetimeKey, TrackedLoad>();
  readonly #failureRates: serverHealth.FailureRates;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
    this.#failureRates = new serverHealth.FailureRates(clock);
  }

  /** Notes that a request begins at a server. */
  recordStart(server: registry.LifetimeKey): void {
    const load = this.#get(server);
    this.#loads.set(server, { ...load, running: load.running + 1 });
  }

  /**
   * Notes that a request ended, after how many ms where it was answered. What
   * the server's neighbours added is taken out, so that it does not look slow
   * once they rest.
   *
   * @param slowness How much longer work took than usual, as the answer told.
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
   * Notes that a request was given up without an answer. The answer would have
   * taken longer than `elapsedMs`, which tells of a slow or silent server.
   */
  recordUnanswered(server: registry.LifetimeKey, elapsedMs: number): void {
    const isSlow = elapsedMs > this.#get(server).meanMs;
    this.recordEnd(server, isSlow ? elapsedMs : undefined);
  }

  /** Notes whether a try brought an answer that its caller can use. */
  recordOutcome(server: registry.LifetimeKey, isSuccess: boolean): void {
    this.#failureRates.record(server, isSuccess);
  }

  /** Notes the load that a server told; this box's own part is known better. */
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
      reportedByOthers: reportedByOthers,
      reportedSlowness: reportedSlowness,
      reportedAtMs: reportedAtMs,
    });
  }

  /** Passes over a server for a while. */
  avoid(server: registry.LifetimeKey): void {
    const avoidUntilMs = this.#clock.getMonotonicMs() + AVOID_DURATION_MS;
    this.#loads.set(server, { ...this.#get(server), avoidUntilMs });
  }

  /** Notes that a server refused because it was full. */
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

  /** Time that a new request is expected to take at a server, in ms. */
  estimateLatencyMs(server: registry.RegisteredServer): number {
    const load = this.#get(server.lifetime);
    const utilization = this.#countRequests(server) / Math.max(1, server.slots);
    const failureMs = this.#failureRates.get(server.lifetime) * FAILURE_COST_MS;
    const workMs = load.meanMs * this.#getSlowness(load) * (1 + utilization);
    return workMs + server.coldMs + failureMs;
  }

  /** What was told fades towards as usual. */
  #getSlowness(
    { reportedSlowness: reportedSlowness, reportedAtMs: reportedAtMs }:
      TrackedLoad,
  ): number {
    const ageMs = this.#clock.getMonotonicMs() - reportedAtMs;
    return 1 + (reportedSlowness - 1) * Math.exp(-ageMs / SLOWNESS_DECAY_MS);
  }

  /** Whether a server has a place free, as far as is known. */
  hasFreeSlot(server: registry.RegisteredServer): boolean {
    return this.#countRequests(server) < Math.max(1, server.slots);
  }

  /** Requests at a server: this box's own, and those of others it told of. */
  #countRequests(server: registry.RegisteredServer): number {
    const load = this.#get(server.lifetime);
    const isReportFresh =
      this.#clock.getMonotonicMs() - load.reportedAtMs < MAX_REPORT_AGE_MS;
    return load.running + (isReportFresh ? load.reportedByOthers : 0);
  }

  /** Mean duration of requests at a server, in ms. */
  getMeanDurationMs(server: registry.LifetimeKey): number {
    return this.#get(server).meanMs;
  }

  #get(server: registry.LifetimeKey): TrackedLoad {
    return this.#loads.get(server) ?? NO_LOAD;
  }
}
