import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Weight of the newest outcome; four failures in a row give three quarters. */
const SMOOTHING_FACTOR = 0.3;
/**
 * Time after which a share counts half, in ms. A server that is passed over
 * for its failures is so tried again after some seconds.
 */
const HALF_LIFE_MS = 2_000;

interface FailureRate {
  readonly rate: number;
  readonly recordedAtMs: number;
}

const NO_FAILURES: FailureRate = { rate: 0, recordedAtMs: 0 };

/**
 * Moving share of failed tries of each start of a server; it fades without
 * news. What a former start failed says nothing of a later one.
 */
export class FailureRates {
  readonly #clock: clocks.Clock;
  readonly #rates = new Map<registry.LifetimeKey, FailureRate>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Notes whether a try at a server brought what it was sent for. */
  record(server: registry.LifetimeKey, isSuccess: boolean): void {
    const previous = this.get(server);
    const rate = previous + ((isSuccess ? 0 : 1) - previous) * SMOOTHING_FACTOR;
    this.#rates.set(server, {
      rate: rate,
      recordedAtMs: this.#clock.getMonotonicMs(),
    });
  }

  /** Share of failures to expect, from 0 to 1. */
  get(server: registry.LifetimeKey): number {
    const { rate: rate, recordedAtMs: recordedAtMs } =
      this.#rates.get(server) ?? NO_FAILURES;
    if (rate === 0) return 0;
    const ageMs = this.#clock.getMonotonicMs() - recordedAtMs;
    return rate * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
