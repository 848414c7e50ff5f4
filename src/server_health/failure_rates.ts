import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Weight of the newest outcome in the moving average. */
const SMOOTHING_FACTOR = 0.3;
/**
 * Half-life of a failure rate without new outcomes, in ms. The decay makes a
 * server that is passed over for its failures eligible again.
 */
const HALF_LIFE_MS = 2_000;

interface FailureRate {
  readonly rate: number;
  readonly recordedAtMs: number;
}

const NO_FAILURES: FailureRate = { rate: 0, recordedAtMs: 0 };

/**
 * Exponentially weighted failure rate of each server lifetime. A rate decays
 * while no outcomes arrive. A restarted server begins with a rate of 0.
 */
export class FailureRates {
  readonly #clock: clocks.Clock;
  readonly #rates = new Map<registry.LifetimeKey, FailureRate>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Adds the outcome of one attempt at a server to its failure rate. */
  record(server: registry.LifetimeKey, isSuccess: boolean): void {
    const previous = this.get(server);
    const rate = previous + ((isSuccess ? 0 : 1) - previous) * SMOOTHING_FACTOR;
    this.#rates.set(server, {
      rate,
      recordedAtMs: this.#clock.getMonotonicMs(),
    });
  }

  /** Returns the expected share of failed attempts, from 0 to 1. */
  get(server: registry.LifetimeKey): number {
    const { rate, recordedAtMs } = this.#rates.get(server) ?? NO_FAILURES;
    if (rate === 0) return 0;
    const ageMs = this.#clock.getMonotonicMs() - recordedAtMs;
    return rate * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
