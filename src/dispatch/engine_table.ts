import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverHealth from "../server_health/mod.ts";

/** Weight of the newest gap in an engine's mean. */
const SMOOTHING_FACTOR = 0.05;
/** Gap between events that an engine without history is taken for, in ms. */
const DEFAULT_INTERVAL_MS = 40;
/** Age after which a mean says nothing any more, in ms. */
const MAX_INTERVAL_AGE_MS = 5_000;
/**
 * How much longer a full engine takes for an event than an idle one, as a share
 * (measured: 37 ms alone, 42.5 ms with all of twelve places taken).
 */
const FULL_LOAD_SLOWDOWN = 0.15;
/** Gap, as a multiple of the median, from which an engine counts as slow. */
const SLOW_RATIO = 1.1;
/** How long an engine that broke a run is passed over, in ms. */
const AVOID_DURATION_MS = 600;

interface EngineState {
  readonly runCount: number;
  /** Mean time between events, taken back to an idle engine, in ms. */
  readonly intervalMs: number;
  /** When the last gap was noted, in monotonic ms. */
  readonly recordedAtMs: number;
  /** For how long it has been slow without a break, in ms. */
  readonly slowDurationMs: number;
  readonly avoidUntilMs: number;
  /** Versions that the engine proved since its last heartbeat, by model. */
  readonly observedVersions: ReadonlyMap<string, number>;
  /** Model that is being loaded, if any. */
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
 * What the dispatching box knows of each start of an engine beyond its
 * heartbeats: a later start has no runs, no loads, and proved nothing.
 */
export class EngineTable {
  readonly #clock: clocks.Clock;
  readonly #states = new Map<registry.LifetimeKey, EngineState>();
  readonly #failureRates: serverHealth.FailureRates;
  /** Median of the gaps when it was last asked for. */
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
   * Notes the time between two events of a run, in ms. What the load of the
   * engine adds is taken out, so that a fast engine does not look slow only
   * because it is full.
   */
  recordInterval(engine: registry.RegisteredServer, intervalMs: number): void {
    const state = this.#get(engine.lifetime);
    const idleIntervalMs = intervalMs /
      computeSlowdown(state.runCount, engine.slots);
    const meanMs = state.intervalMs +
      (idleIntervalMs - state.intervalMs) * SMOOTHING_FACTOR;
    const recordedAtMs = this.#clock.getMonotonicMs();
    // The runs of an engine tell of the same time side by side.
    const elapsedMs = intervalMs / Math.max(1, state.runCount);
    const isSlow = meanMs > SLOW_RATIO * this.#median.intervalMs;
    const slowDurationMs = isSlow ? state.slowDurationMs + elapsedMs : 0;
    this.#states.set(engine.lifetime, {
      ...state,
      intervalMs: meanMs,
      recordedAtMs: recordedAtMs,
      slowDurationMs: slowDurationMs,
    });
  }

  /** For how long an engine has been slower than usual without a break, in ms. */
  getSlowDurationMs(engine: registry.LifetimeKey): number {
    return this.#get(engine).slowDurationMs;
  }

  /** Expected time between events with so many runs at an engine, in ms. */
  estimateIntervalMs(
    engine: registry.RegisteredServer,
    runCount: number,
  ): number {
    return this.getIdleIntervalMs(engine.lifetime) *
      computeSlowdown(runCount, engine.slots);
  }

  /** Mean time between events at an idle engine, in ms; a guess without news. */
  getIdleIntervalMs(engine: registry.LifetimeKey): number {
    const { intervalMs: intervalMs, recordedAtMs: recordedAtMs } = this.#get(
      engine,
    );
    const isRecent =
      this.#clock.getMonotonicMs() - recordedAtMs < MAX_INTERVAL_AGE_MS;
    return isRecent
      ? intervalMs
      : Math.min(intervalMs, this.getMedianIdleIntervalMs());
  }

  /** Median of the engines' mean times between events, in ms. */
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
      .filter(({ recordedAtMs: recordedAtMs }) =>
        nowMs - recordedAtMs < MAX_INTERVAL_AGE_MS
      )
      .map(({ intervalMs: intervalMs }) => intervalMs)
      .toSorted((a, b) => a - b);
    return intervals[Math.floor(intervals.length / 2)] ?? DEFAULT_INTERVAL_MS;
  }

  /** Notes whether a run ended as it should; a cancelled one says nothing. */
  recordRunResult(engine: registry.LifetimeKey, isSuccess: boolean): void {
    this.#failureRates.record(engine, isSuccess);
  }

  /** Share of an engine's runs that are expected to break, from 0 to 1. */
  getFailureRate(engine: registry.LifetimeKey): number {
    return this.#failureRates.get(engine);
  }

  avoid(engine: registry.LifetimeKey): void {
    const avoidUntilMs = this.#clock.getMonotonicMs() + AVOID_DURATION_MS;
    this.#states.set(engine, { ...this.#get(engine), avoidUntilMs });
  }

  isAvoided(engine: registry.LifetimeKey): boolean {
    return this.#get(engine).avoidUntilMs > this.#clock.getMonotonicMs();
  }

  /** Notes a version that an engine showed, before a heartbeat tells it. */
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
    this.#states.set(engine, { ...state, observedVersions: observedVersions });
  }

  /** Notes the version that an engine's answer named, whatever was known. */
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
    this.#states.set(engine, { ...state, observedVersions: observedVersions });
  }

  /** Version of a model at an engine, as far as is known; 0 for none. */
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

/** How much longer an event takes with so many runs than with none, a factor. */
export function computeSlowdown(runCount: number, slots: number): number {
  return 1 + FULL_LOAD_SLOWDOWN * runCount / slots;
}
