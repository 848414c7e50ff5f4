import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverHealth from "../server_health/mod.ts";

/** Weight of a new interval in an engine's exponential moving average. */
const SMOOTHING_FACTOR = 0.05;
/** Event interval assumed for an engine without measurements, in ms. */
const DEFAULT_INTERVAL_MS = 40;
/** Age after which an engine's average interval is considered stale, in ms. */
const MAX_INTERVAL_AGE_MS = 5_000;
/**
 * Relative increase of the event interval from an idle to a full engine: from 37
 * to 42.5 ms with all of twelve slots in use.
 */
const FULL_LOAD_SLOWDOWN = 0.15;
/** Multiple of the median interval above which an engine counts as slow. */
const SLOW_RATIO = 1.1;
/** How long an engine gets no new runs after it broke or refused one, in ms. */
const AVOID_DURATION_MS = 600;

interface EngineState {
  readonly runCount: number;
  /** Average event interval, normalized to an idle engine, in ms. */
  readonly intervalMs: number;
  /** When the last interval was recorded, in monotonic ms. */
  readonly recordedAtMs: number;
  /** How long the engine has been continuously slow, in ms. */
  readonly slowDurationMs: number;
  /** When the engine may get new runs again, in monotonic ms. */
  readonly avoidUntilMs: number;
  /** Weight versions observed besides those in heartbeats, by model. */
  readonly observedVersions: ReadonlyMap<string, number>;
  /** Model whose weights the engine is loading, if any. */
  readonly loadingModel: string | undefined;
}

const INITIAL_STATE: EngineState = {
  runCount: 0,
  intervalMs: DEFAULT_INTERVAL_MS,
  recordedAtMs: Number.NEGATIVE_INFINITY,
  slowDurationMs: 0,
  avoidUntilMs: Number.NEGATIVE_INFINITY,
  observedVersions: new Map(),
  loadingModel: undefined,
};

/**
 * The leader's state for each engine lifetime beyond what heartbeats report:
 * runs, speed, failures, loading and observed weight versions. A restarted
 * engine has a new lifetime and starts from the initial state.
 */
export class EngineTable {
  readonly #clock: clocks.Clock;
  readonly #states = new Map<registry.LifetimeKey, EngineState>();
  readonly #failureRates: serverHealth.FailureRates;
  /** Cached median interval, valid for one reading of the clock. */
  #median = { computedAtMs: Number.NaN, intervalMs: DEFAULT_INTERVAL_MS };

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
    this.#failureRates = new serverHealth.FailureRates(clock);
  }

  addRun(engine: registry.LifetimeKey): void {
    const state = this.#get(engine);
    this.#states.set(engine, { ...state, runCount: state.runCount + 1 });
  }

  removeRun(engine: registry.LifetimeKey): void {
    const state = this.#get(engine);
    this.#states.set(engine, { ...state, runCount: state.runCount - 1 });
  }

  getRunCount(engine: registry.LifetimeKey): number {
    return this.#get(engine).runCount;
  }

  /**
   * Records the time between two events of a run, in ms. The slowdown due to the
   * engine's load is removed, so that a full engine does not appear slow.
   */
  recordInterval(engine: registry.RegisteredServer, intervalMs: number): void {
    const state = this.#get(engine.lifetime);
    const idleIntervalMs = intervalMs /
      computeSlowdown(state.runCount, engine.slots);
    const meanMs = state.intervalMs +
      (idleIntervalMs - state.intervalMs) * SMOOTHING_FACTOR;
    const recordedAtMs = this.#clock.getMonotonicMs();
    // Concurrent runs report the same period, so each adds only its share.
    const elapsedMs = intervalMs / Math.max(1, state.runCount);
    const isSlow = meanMs > SLOW_RATIO * this.#median.intervalMs;
    const slowDurationMs = isSlow ? state.slowDurationMs + elapsedMs : 0;
    this.#states.set(engine.lifetime, {
      ...state,
      intervalMs: meanMs,
      recordedAtMs,
      slowDurationMs,
    });
  }

  /** Returns how long an engine has been continuously slow, in ms. */
  getSlowDurationMs(engine: registry.LifetimeKey): number {
    return this.#get(engine).slowDurationMs;
  }

  /** Estimates the event interval of an engine with a number of runs, in ms. */
  estimateIntervalMs(
    engine: registry.RegisteredServer,
    runCount: number,
  ): number {
    return this.getIdleIntervalMs(engine.lifetime) *
      computeSlowdown(runCount, engine.slots);
  }

  /**
   * Returns the event interval expected of the engine when idle, in ms. A stale
   * average is capped at the median of all engines.
   */
  getIdleIntervalMs(engine: registry.LifetimeKey): number {
    const { intervalMs, recordedAtMs } = this.#get(
      engine,
    );
    const isRecent =
      this.#clock.getMonotonicMs() - recordedAtMs < MAX_INTERVAL_AGE_MS;
    return isRecent
      ? intervalMs
      : Math.min(intervalMs, this.getMedianIdleIntervalMs());
  }

  /** Returns the median of the engines' recent average idle intervals, in ms. */
  getMedianIdleIntervalMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    if (this.#median.computedAtMs !== nowMs) {
      this.#median = {
        computedAtMs: nowMs,
        intervalMs: this.#computeMedianMs(nowMs),
      };
    }
    return this.#median.intervalMs;
  }

  #computeMedianMs(nowMs: number): number {
    const intervals = [...this.#states.values()]
      .filter(({ recordedAtMs }) => nowMs - recordedAtMs < MAX_INTERVAL_AGE_MS)
      .map(({ intervalMs }) => intervalMs)
      .toSorted((a, b) => a - b);
    return intervals[Math.floor(intervals.length / 2)] ?? DEFAULT_INTERVAL_MS;
  }

  /** Records whether a run succeeded; not called for runs cancelled here. */
  recordRunResult(engine: registry.LifetimeKey, isSuccess: boolean): void {
    this.#failureRates.record(engine, isSuccess);
  }

  /** Returns the share of an engine's runs expected to fail, from 0 to 1. */
  getFailureRate(engine: registry.LifetimeKey): number {
    return this.#failureRates.get(engine);
  }

  /** Gives an engine no new runs for a while. */
  avoid(engine: registry.LifetimeKey): void {
    const avoidUntilMs = this.#clock.getMonotonicMs() + AVOID_DURATION_MS;
    this.#states.set(engine, { ...this.#get(engine), avoidUntilMs });
  }

  isAvoided(engine: registry.LifetimeKey): boolean {
    return this.#get(engine).avoidUntilMs > this.#clock.getMonotonicMs();
  }

  /** Records a loaded weight version unless a newer one was observed. */
  advanceVersion(
    engine: registry.LifetimeKey,
    model: string,
    version: number,
  ): void {
    const state = this.#get(engine);
    if ((state.observedVersions.get(model) ?? 0) >= version) return;
    const observedVersions = new Map([
      ...state.observedVersions,
      [model, version] as const,
    ]);
    this.#states.set(engine, { ...state, observedVersions });
  }

  /** Records the weight version in an engine's response, even if it is older. */
  setVersion(
    engine: registry.LifetimeKey,
    model: string,
    version: number,
  ): void {
    const state = this.#get(engine);
    if (state.observedVersions.get(model) === version) return;
    const observedVersions = new Map([
      ...state.observedVersions,
      [model, version] as const,
    ]);
    this.#states.set(engine, { ...state, observedVersions });
  }

  /**
   * Returns the newest weight version of a model reported by an engine's
   * heartbeat or observed since; 0 if none is known.
   */
  getVersion(engine: registry.RegisteredServer, model: string): number {
    const reported = engine.models.find((weights) => weights.name === model)
      ?.version;
    const observed = this.#get(engine.lifetime).observedVersions.get(model);
    return Math.max(reported ?? 0, observed ?? 0);
  }

  setLoadingModel(
    engine: registry.LifetimeKey,
    model: string | undefined,
  ): void {
    this.#states.set(engine, { ...this.#get(engine), loadingModel: model });
  }

  getLoadingModel(engine: registry.LifetimeKey): string | undefined {
    return this.#get(engine).loadingModel;
  }

  #get(engine: registry.LifetimeKey): EngineState {
    return this.#states.get(engine) ?? INITIAL_STATE;
  }
}

/** Computes the factor by which load lengthens an engine's event interval. */
export function computeSlowdown(runCount: number, slots: number): number {
  return 1 + FULL_LOAD_SLOWDOWN * runCount / slots;
}
