import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Assumed duration of a load until one has been observed, in ms. */
const INITIAL_LOAD_MS = 1_000;
/** Weight of the newest load in the moving average of durations. */
const SMOOTHING_FACTOR = 0.2;
/**
 * Share of the average observed duration for which a load counts as running.
 * The rest is the delay until an engine's report shows that the load has ended.
 */
const EXPECTED_LOAD_FRACTION = 0.9;

/**
 * Tracks the running loads, so that a scheduler can limit them: concurrent
 * loads slow each other down. A load counts as running until it ends or its
 * expected duration has passed, so a load whose end is never observed (no
 * response to the order, or a crashed engine) does not block others for long.
 */
export class LoadTracker {
  readonly #clock: clocks.Clock;
  /** Start of each load in monotonic ms, by the lifetime of its engine. */
  readonly #startTimes = new Map<registry.LifetimeKey, number>();
  #meanMs = INITIAL_LOAD_MS;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Counts the loads that are expected to be running. */
  countRunning(): number {
    const sinceMs = this.#clock.getMonotonicMs() - this.getExpectedLoadMs();
    return [...this.#startTimes.values()].filter((atMs) => atMs > sinceMs)
      .length;
  }

  /** Records the start of a load on an engine. */
  begin(engine: registry.LifetimeKey): void {
    this.#startTimes.set(engine, this.#clock.getMonotonicMs());
  }

  /**
   * Records the end of a load. Its duration enters the average only if its end
   * was observed.
   */
  end(engine: registry.LifetimeKey, isObserved: boolean): void {
    const atMs = this.#startTimes.get(engine);
    this.#startTimes.delete(engine);
    if (atMs === undefined || !isObserved) return;
    const tookMs = this.#clock.getMonotonicMs() - atMs;
    this.#meanMs += (tookMs - this.#meanMs) * SMOOTHING_FACTOR;
  }

  /** Expected duration of a load, in ms. */
  getExpectedLoadMs(): number {
    return this.#meanMs * EXPECTED_LOAD_FRACTION;
  }
}
