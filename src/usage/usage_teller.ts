import type * as clocks from "../clock/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as protocol from "./protocol.ts";
import * as usageTallies from "./usage_tally.ts";
import * as usageWindows from "./usage_window.ts";

/**
 * Between two looks whether there is something to tell, in ms. A box that dies
 * takes with it what it counted in this time.
 */
const TICK_MS = 300;
const TIMES: replicaGroups.CallTimeouts = { totalMs: 1_500, tryMs: 600 };

/** What a usage teller needs. */
export interface UsageTellerOptions {
  readonly clock: clocks.Clock;
  readonly stores: replicaGroups.LeaderCaller;
  /** Id of this box and when it started. */
  readonly source: string;
  readonly times: usageWindows.WindowTimes;
  /** Names the leader of the stores and its term, as boxes tell it. */
  readonly describeLeader: () => string;
}

/** Counts the requests of accounts at this box, and tells the stores. */
export class UsageTeller {
  readonly #options: UsageTellerOptions;
  readonly #tally = new usageTallies.UsageTally();
  #told = "";
  #isTelling = false;
  #isStopped = false;

  constructor(options: UsageTellerOptions) {
    this.#options = options;
  }

  /** Counts a request that a server began at a moment of wall time, in ms. */
  count(account: string, beganAtMs: number): void {
    const window = usageWindows.getWindow(beganAtMs, this.#options.times);
    this.#tally.count(window, account);
  }

  start(): void {
    if (this.#isStopped) return;
    this.#forgetStale();
    void this.#tell();
    this.#options.clock.startTimer(TICK_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #forgetStale(): void {
    const { clock, times } = this.#options;
    const oldest = usageWindows.getOldestWindow(clock.getWallMs(), times);
    this.#tally.forgetThrough(oldest - 1);
  }

  /** Tells a new leader everything: it knows only what it is told. */
  async #tell(): Promise<void> {
    const { stores, source, describeLeader } = this.#options;
    const leader = describeLeader();
    const isDue = this.#tally.hasNews() || leader !== this.#told;
    if (this.#isTelling || this.#tally.isEmpty() || !isDue) return;
    this.#isTelling = true;
    const request: protocol.TellRequest = {
      source,
      totals: this.#tally.take(),
    };
    const reply = await stores.call<protocol.TellReply>(
      protocol.METHODS.tell,
      request,
      TIMES,
    );
    this.#isTelling = false;
    if (reply.kind === "failure") return this.#tally.markUntold();
    this.#told = leader;
    const { lastClosed } = reply.value;
    if (lastClosed !== undefined) this.#tally.forgetThrough(lastClosed);
  }
}
