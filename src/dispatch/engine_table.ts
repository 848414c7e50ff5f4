import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverHealth from "../server_health/mod.ts";

/** Weight of the newest gap in an engine's mean. */
const NEWEST_SHARE = 0.05;
/** Gap between events that an engine without history is taken for, in ms. */
const FIRST_GAP_MS = 40;
/** Age after which a mean says nothing any more, in ms. */
const GAP_MS = 5_000;
/**
 * How much longer a full engine takes for an event than an idle one, as a share
 * (measured: 37 ms alone, 42.5 ms with all of twelve places taken).
 */
const FULL_SLOWDOWN = 0.15;
/** Gap, as a multiple of the median, from which an engine counts as slow. */
const SLOW_RATIO = 1.1;
/** How long an engine that broke a run is passed over, in ms. */
const AVOID_MS = 600;

interface EngineState {
  readonly running: number;
  /** Mean time between events, taken back to an idle engine, in ms. */
  readonly gapMs: number;
  /** When the last gap was noted, in monotonic ms. */
  readonly gapAtMs: number;
  /** For how long it has been slow without a break, in ms. */
  readonly slowForMs: number;
  readonly avoidUntilMs: number;
  /** Versions that the engine proved since its last heartbeat, by model. */
  readonly proved: ReadonlyMap<string, number>;
  /** Model that is being loaded, if any. */
  readonly loading: string | undefined;
}

const FIRST_STATE: EngineState = {
  running: 0,
  gapMs: FIRST_GAP_MS,
  gapAtMs: Number.NEGATIVE_INFINITY,
  slowForMs: 0,
  avoidUntilMs: Number.NEGATIVE_INFINITY,
  proved: new Map(),
  loading: undefined,
};

/**
 * What the dispatching box knows of each start of an engine beyond its
 * heartbeats: a later start has no runs, no loads, and proved nothing.
 */
export class EngineTable {
  readonly #clock: clocks.Clock;
  readonly #states = new Map<registry.LifetimeKey, EngineState>();
  readonly #failures: serverHealth.FailureRates;
  /** Median of the gaps when it was last asked for. */
  #median = { atMs: Number.NaN, gapMs: FIRST_GAP_MS };

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
    this.#failures = new serverHealth.FailureRates(clock);
  }

  begin(engine: registry.LifetimeKey): void {
    const state = this.#get(engine);
    this.#states.set(engine, { ...state, running: state.running + 1 });
  }

  end(engine: registry.LifetimeKey): void {
    const state = this.#get(engine);
    this.#states.set(engine, { ...state, running: state.running - 1 });
  }

  getRunning(engine: registry.LifetimeKey): number {
    return this.#get(engine).running;
  }

  /**
   * Notes the time between two events of a run, in ms. What the load of the
   * engine adds is taken out, so that a fast engine does not look slow only
   * because it is full.
   */
  noteGap(engine: registry.RegisteredServer, gapMs: number): void {
    const state = this.#get(engine.lifetime);
    const idleMs = gapMs / getSlowdown(state.running, engine.slots);
    const mean = state.gapMs + (idleMs - state.gapMs) * NEWEST_SHARE;
    const gapAtMs = this.#clock.getMonotonicMs();
    // The runs of an engine tell of the same time side by side.
    const tellsMs = gapMs / Math.max(1, state.running);
    const isSlow = mean > SLOW_RATIO * this.#median.gapMs;
    const slowForMs = isSlow ? state.slowForMs + tellsMs : 0;
    this.#states.set(engine.lifetime, {
      ...state,
      gapMs: mean,
      gapAtMs,
      slowForMs,
    });
  }

  /** For how long an engine has been slower than usual without a break, in ms. */
  getSlowForMs(engine: registry.LifetimeKey): number {
    return this.#get(engine).slowForMs;
  }

  /** Expected time between events with so many runs at an engine, in ms. */
  estimateGapMs(engine: registry.RegisteredServer, running: number): number {
    return this.getGapMs(engine.lifetime) * getSlowdown(running, engine.slots);
  }

  /** Mean time between events at an idle engine, in ms; a guess without news. */
  getGapMs(engine: registry.LifetimeKey): number {
    const { gapMs, gapAtMs } = this.#get(engine);
    const isNews = this.#clock.getMonotonicMs() - gapAtMs < GAP_MS;
    return isNews ? gapMs : Math.min(gapMs, this.getMedianGapMs());
  }

  /** Median of the engines' mean times between events, in ms. */
  getMedianGapMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    if (this.#median.atMs !== nowMs) {
      this.#median = { atMs: nowMs, gapMs: this.#computeMedianMs(nowMs) };
    }
    return this.#median.gapMs;
  }

  #computeMedianMs(nowMs: number): number {
    const gaps = [...this.#states.values()]
      .filter(({ gapAtMs }) => nowMs - gapAtMs < GAP_MS)
      .map(({ gapMs }) => gapMs)
      .toSorted((a, b) => a - b);
    return gaps[Math.floor(gaps.length / 2)] ?? FIRST_GAP_MS;
  }

  /** Notes whether a run ended as it should; a cancelled one says nothing. */
  noteRun(engine: registry.LifetimeKey, isGood: boolean): void {
    this.#failures.record(engine, isGood);
  }

  /** Share of an engine's runs that are expected to break, from 0 to 1. */
  getFailureShare(engine: registry.LifetimeKey): number {
    return this.#failures.get(engine);
  }

  avoid(engine: registry.LifetimeKey): void {
    const avoidUntilMs = this.#clock.getMonotonicMs() + AVOID_MS;
    this.#states.set(engine, { ...this.#get(engine), avoidUntilMs });
  }

  isAvoided(engine: registry.LifetimeKey): boolean {
    return this.#get(engine).avoidUntilMs > this.#clock.getMonotonicMs();
  }

  /** Notes a version that an engine showed, before a heartbeat tells it. */
  prove(engine: registry.LifetimeKey, model: string, version: number): void {
    const state = this.#get(engine);
    if ((state.proved.get(model) ?? 0) >= version) return;
    const proved = new Map([...state.proved, [model, version] as const]);
    this.#states.set(engine, { ...state, proved });
  }

  /** Notes the version that an engine's answer named, whatever was known. */
  observe(engine: registry.LifetimeKey, model: string, version: number): void {
    const state = this.#get(engine);
    if (state.proved.get(model) === version) return;
    const proved = new Map([...state.proved, [model, version] as const]);
    this.#states.set(engine, { ...state, proved });
  }

  /** Version of a model at an engine, as far as is known; 0 for none. */
  getVersion(engine: registry.RegisteredServer, model: string): number {
    const told = engine.models.find((held) => held.name === model)?.version;
    const proved = this.#get(engine.lifetime).proved.get(model);
    return Math.max(told ?? 0, proved ?? 0);
  }

  setLoading(engine: registry.LifetimeKey, model: string | undefined): void {
    this.#states.set(engine, { ...this.#get(engine), loading: model });
  }

  getLoading(engine: registry.LifetimeKey): string | undefined {
    return this.#get(engine).loading;
  }

  #get(engine: registry.LifetimeKey): EngineState {
    return this.#states.get(engine) ?? FIRST_STATE;
  }
}

/** How much longer an event takes with so many runs than with none, a factor. */
export function getSlowdown(running: number, slots: number): number {
  return 1 + FULL_SLOWDOWN * running / slots;
}
