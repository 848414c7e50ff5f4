import type * as clocks from "../clock/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as protocol from "./protocol.ts";
import * as usageTotals from "./usage_totals.ts";
import * as usageWindows from "./usage_window.ts";

/**
 * Interval at which totals are sent, in ms. If the box fails, what it counted
 * since it last sent its totals is lost.
 */
const SEND_INTERVAL_MS = 300;
/** Timeouts of sending the totals: in all, and for each attempt, in ms. */
const CALL_TIMES: replicaGroups.CallTimeouts = { totalMs: 1_500, tryMs: 600 };

/** Dependencies of a usage recorder. */
export interface UsageRecorderOptions {
  readonly clock: clocks.Clock;
  readonly stores: replicaGroups.LeaderCaller;
  /** Id of this box and its start time; identifies this process. */
  readonly source: string;
  readonly times: usageWindows.WindowTimings;
  /** Describes the leader of the stores and its term, as known from gossip. */
  readonly describeLeader: () => string;
}

/** Counts the requests of accounts on this box and sends the totals to the leader. */
export class UsageRecorder {
  readonly #options: UsageRecorderOptions;
  readonly #counter = new usageTotals.UsageCounter();
  /** Description of the leader that last accepted the totals. */
  #sentToLeader = "";
  #isSending = false;
  #isStopped = false;

  constructor(options: UsageRecorderOptions) {
    this.#options = options;
  }

  /**
   * Counts a request.
   *
   * @param account Name of its client account.
   * @param startedAtMs Wall-clock time at which a server began it, in Unix ms.
   */
  count(account: string, startedAtMs: number): void {
    const window = usageWindows.getWindow(startedAtMs, this.#options.times);
    this.#counter.count(window, account);
  }

  /** Sends new totals, now and at each interval, until stopped. */
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

  /**
   * Sends all totals if some are unsent or the leader is new, as a new leader
   * has none. Discards the windows that the leader has closed.
   */
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
