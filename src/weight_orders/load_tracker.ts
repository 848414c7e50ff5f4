import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Time that a load is taken for before one was seen to end, in ms. */
const INITIAL_LOAD_MS = 1_000;
/** Weight of the newest load in the mean. */
const SMOOTHING_FACTOR = 0.2;
/**
 * Share of the mean time until a load is seen to have ended after which the
 * next may begin; the rest is the lag of engines' reports (some 100 ms of 1,000).
 */
const EXPECTED_LOAD_FRACTION = 0.9;

/**
 * Counts the loads that run at once, since too many slow each other down. A
 * load counts for as long as loads were seen to take. One whose end is not seen,
 * as when an order got no answer or an engine is dead, holds up no other.
 */
export class LoadTracker {
  readonly #clock: clocks.Clock;
  /** When each load that counts began, in monotonic ms, by the start of its engine. */
  readonly #startTimes = new Map<registry.LifetimeKey, number>();
  #meanMs = INITIAL_LOAD_MS;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Loads that are expected to run. */
  countRunning(): number {
    const sinceMs = this.#clock.getMonotonicMs() - this.getExpectedLoadMs();
    return [...this.#startTimes.values()].filter((atMs) => atMs > sinceMs)
      .length;
  }

  begin(engine: registry.LifetimeKey): void {
    this.#startTimes.set(engine, this.#clock.getMonotonicMs());
  }

  /** Ends a load, and learns from it where its end was seen. */
  end(engine: registry.LifetimeKey, isObserved: boolean): void {
    const atMs = this.#startTimes.get(engine);
    this.#startTimes.delete(engine);
    if (atMs === undefined || !isObserved) return;
    const tookMs = this.#clock.getMonotonicMs() - atMs;
    this.#meanMs += (tookMs - this.#meanMs) * SMOOTHING_FACTOR;
  }

  /** Time that a load is expected to take, in ms. */
  getExpectedLoadMs(): number {
    return this.#meanMs * EXPECTED_LOAD_FRACTION;
  }
}
