import * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as boxRecords from "./box_record.ts";
import type * as protocol from "./protocol.ts";
import * as refreshBatches from "./_refresh_batch.ts";

/** Interval of refreshes relayed to subscribers, in ms. */
const REFRESH_INTERVAL_MS = 250;
/**
 * Refreshes go to the other core boxes once in this many intervals. Non-core
 * boxes send their refreshes to every core box themselves, so the relayed ones
 * matter only where a link is cut. The resulting 1 s is below BOX_TIMEOUT_MS.
 * Sent in each interval, they would be half of the bytes that refreshes send
 * between failure domains.
 */
const CORE_RELAY_INTERVALS = 4;
/**
 * Time for which changes are collected into one message, in ms. Keeps the number
 * of messages low when many boxes start at once.
 */
const BATCH_DELAY_MS = 30;
/** Lifetime of a subscription, in ms; each refresh of the subscriber renews it. */
const SUBSCRIPTION_MS = 2_000;

/** Dependencies of a relay. */
export interface RelayOptions {
  readonly clock: clocks.Clock;
  /** Creates an empty message from this box. */
  readonly createMessage: () => protocol.GossipMessage;
  /** Returns the refresh of this box's own record. */
  readonly getOwnRefresh: () => protocol.BoxRefresh;
  /** Lists the ids of the other core boxes. */
  readonly listCoreIds: () => readonly string[];
  readonly send: (id: string, message: protocol.GossipMessage) => void;
}

/**
 * Forwards the changes and refreshes that a core box receives to its
 * subscribers and to the other core boxes. A box subscribes to one core box, so
 * a change reaches it about once, however many core boxes there are.
 */
export class Relay {
  readonly #options: RelayOptions;
  /** Expiry of each subscription in monotonic ms, by box id. */
  readonly #subscribers = new Map<string, number>();
  readonly #subscriberRefreshes = new refreshBatches.RefreshBatch();
  readonly #coreRefreshes = new refreshBatches.RefreshBatch();
  readonly #queuedBoxes = new Map<string, boxRecords.BoxRecord>();
  readonly #queuedServers = new Map<string, registry.ServerReport>();
  readonly #delayedFlush: clocks.CoalescedCall;
  #round = 0;
  #isStopped = false;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#delayedFlush = new clocks.CoalescedCall({
      clock: options.clock,
      delayMs: BATCH_DELAY_MS,
      action: () => this.#flush(),
    });
  }

  /** Sends the collected refreshes, now and at each interval. */
  start(): void {
    if (this.#isStopped) return;
    const { clock, listCoreIds } = this.#options;
    const coreIds = listCoreIds();
    this.#round += 1;
    if (this.#round % CORE_RELAY_INTERVALS === 0) {
      this.#sendBatch(this.#coreRefreshes, coreIds);
    }
    const subscriberIds = this.listSubscribers().filter((id) =>
      !coreIds.includes(id)
    );
    this.#sendBatch(this.#subscriberRefreshes, subscriberIds);
    clock.startTimer(REFRESH_INTERVAL_MS, () => this.start());
  }

  #sendBatch(
    batch: refreshBatches.RefreshBatch,
    targets: readonly string[],
  ): void {
    const { createMessage, getOwnRefresh, send } = this.#options;
    const { boxRefreshes, serverRefreshes } = batch.drain();
    const message: protocol.GossipMessage = {
      ...createMessage(),
      boxRefreshes: [...boxRefreshes, getOwnRefresh()],
      serverRefreshes,
    };
    for (const id of targets) send(id, message);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Adds or renews the subscription of a box. */
  subscribe(id: string): void {
    const expiresAtMs = this.#options.clock.getMonotonicMs() + SUBSCRIPTION_MS;
    this.#subscribers.set(id, expiresAtMs);
  }

  /** Ids of the boxes whose subscription has not expired. */
  listSubscribers(): readonly string[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [id, expiresAtMs] of this.#subscribers) {
      if (expiresAtMs <= nowMs) this.#subscribers.delete(id);
    }
    return [...this.#subscribers.keys()];
  }

  refreshBox(refresh: protocol.BoxRefresh): void {
    this.#subscriberRefreshes.addBox(refresh);
    this.#coreRefreshes.addBox(refresh);
  }

  refreshServer(refresh: protocol.ServerRefresh): void {
    this.#subscriberRefreshes.addServer(refresh);
    this.#coreRefreshes.addServer(refresh);
  }

  /** Queues a changed record; it is sent within BATCH_DELAY_MS. */
  addBox(box: boxRecords.BoxRecord): void {
    this.#queuedBoxes.set(box.id, box);
    this.#delayedFlush.schedule();
  }

  /**
   * Queues a changed report. One of a server that accepts no more requests is
   * sent at once, with all that is queued.
   */
  addServer(server: registry.ServerReport): void {
    this.#queuedServers.set(server.id, server);
    if (server.phase === "ready") this.#delayedFlush.schedule();
    else this.#flush();
  }

  /** Sends a crash record at once. */
  addCrash(record: crashRecords.CrashRecord): void {
    if (this.#isStopped) return;
    this.#broadcast({ ...this.#options.createMessage(), crashes: [record] });
  }

  #flush(): void {
    if (this.#isStopped) return;
    if (this.#queuedBoxes.size === 0 && this.#queuedServers.size === 0) return;
    this.#broadcast({
      ...this.#options.createMessage(),
      boxes: [...this.#queuedBoxes.values()],
      servers: [...this.#queuedServers.values()],
    });
    this.#queuedBoxes.clear();
    this.#queuedServers.clear();
  }

  #broadcast(message: protocol.GossipMessage): void {
    const { listCoreIds, send } = this.#options;
    const targets = new Set([...this.listSubscribers(), ...listCoreIds()]);
    for (const id of targets) send(id, message);
  }
}
