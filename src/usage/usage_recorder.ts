import type * as clocks from "../clock/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as protocol from "./protocol.ts";
import * as usageTotals from "./usage_totals.ts";
import * as usageWindows from "./usage_window.ts";

/**
 * Between two looks whether there is something to tell, in ms. A box that dies
 * takes with it what it counted in this time.
 */
const SEND_INTERVAL_MS = 300;
const CALL_TIMES: replicaGroups.CallTimeouts = { totalMs: 1_500, tryMs: 600 };

/** What a usage teller needs. */
export interface UsageRecorderOptions {
  readonly clock: clocks.Clock;
  readonly stores: replicaGroups.LeaderCaller;
  /** Id of this box and when it started. */
  readonly source: string;
  readonly times: usageWindows.WindowTimings;
  /** Names the leader of the stores and its term, as boxes tell it. */
  readonly describeLeader: () => string;
}

/** Counts the requests of accounts at this box, and tells the stores. */
export class UsageRecorder {
  readonly #options: UsageRecorderOptions;
  readonly #counter = new usageTotals.UsageCounter();
  #sentToLeader = "";
  #isSending = false;
  #isStopped = false;

  constructor(options: UsageRecorderOptions) {
    this.#options = options;
  }

  /** Counts a request that a server began at a moment of wall time, in ms. */
  count(account: string, startedAtMs: number): void {
    const window = usageWindows.getWindow(startedAtMs, this.#options.times);
    this.#counter.count(window, account);
  }

  start(): void {
    if (this.#isStopped) return;
    this.#discardStale();
    void this.#sendTotals();
    this.#options.clock.startTimer(SEND_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #discardStale(): void {
    const { clock, times } = this.#options;
    const oldest = usageWindows.getOldestWindow(clock.getWallMs(), times);
    this.#counter.discardThrough(oldest - 1);
  }

  /** Tells a new leader everything: it knows only what it is told. */
  async #sendTotals(): Promise<void> {
    const { stores, source, describeLeader } = this.#options;
    const leader = describeLeader();
    const isDue = this.#counter.hasUnsent() || leader !== this.#sentToLeader;
    if (this.#isSending || this.#counter.isEmpty() || !isDue) return;
    this.#isSending = true;
    const request: protocol.TotalsRequest = {
      source,
      totals: this.#counter.takeTotals(),
    };
    const reply = await stores.call<protocol.TotalsReply>(
      protocol.METHODS.tell,
      request,
      CALL_TIMES,
    );
    this.#isSending = false;
    if (reply.kind === "failure") return this.#counter.markUnsent();
    this.#sentToLeader = leader;
    const { lastClosed } = reply.value;
    if (lastClosed !== undefined) this.#counter.discardThrough(lastClosed);
  }
}
