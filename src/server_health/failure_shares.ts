import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Weight of the newest outcome; four failures in a row give three quarters. */
const NEWEST_SHARE = 0.3;
/**
 * Time after which a share counts half, in ms. A server that is passed over
 * for its failures is so tried again after some seconds.
 */
const HALF_LIFE_MS = 2_000;

interface NotedShare {
  readonly share: number;
  readonly atMs: number;
}

const NONE: NotedShare = { share: 0, atMs: 0 };

/**
 * Moving share of failed tries of each start of a server; it fades without
 * news. What a former start failed says nothing of a later one.
 */
export class FailureShares {
  readonly #clock: clocks.Clock;
  readonly #noted = new Map<registry.LifetimeKey, NotedShare>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Notes whether a try at a server brought what it was sent for. */
  note(server: registry.LifetimeKey, isGood: boolean): void {
    const before = this.get(server);
    const share = before + ((isGood ? 0 : 1) - before) * NEWEST_SHARE;
    this.#noted.set(server, { share, atMs: this.#clock.getMonotonicMs() });
  }

  /** Share of failures to expect, from 0 to 1. */
  get(server: registry.LifetimeKey): number {
    const { share, atMs } = this.#noted.get(server) ?? NONE;
    if (share === 0) return 0;
    const ageMs = this.#clock.getMonotonicMs() - atMs;
    return share * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
