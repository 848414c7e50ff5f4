import * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as boxRecords from "./box_record.ts";
import type * as protocol from "./protocol.ts";

/** Between two relays of refreshes to subscribers, in ms. */
const REFRESH_INTERVAL_MS = 250;
/**
 * Relays of refreshes to subscribers for each one to the other core boxes.
 * Plain boxes tell every core box of themselves, so another core box needs the
 * relayed refreshes only where a plain box can't reach it; once a second is
 * then often enough, as a box is taken for gone after 1.8 s. With 28 boxes the
 * relays between core boxes carried 5 of the 10 MB of refreshes that crossed
 * failure domains in 50 s.
 */
const CORE_RELAY_INTERVALS = 4;
/**
 * Time for which changes are gathered, in ms. When many boxes start at once
 * each tells of itself; one message then carries tens of records.
 */
const BATCH_DELAY_MS = 30;
/** How long a subscription lasts, in ms; renewed by each refresh of a box. */
const SUBSCRIPTION_MS = 2_000;

/** What a relay needs. */
export interface RelayOptions {
  readonly clock: clocks.Clock;
  /** Makes news of this box that say nothing yet. */
  readonly createMessage: () => protocol.GossipMessage;
  /** Refresh of this box's own record. */
  readonly getOwnRefresh: () => protocol.BoxRefresh;
  /** Ids of the other core boxes. */
  readonly listCoreIds: () => readonly string[];
  readonly send: (id: string, message: protocol.GossipMessage) => void;
}

/**
 * Passes on what a core box heard: to the boxes that chose it, and to the other
 * core boxes. Each change so reaches a box once, whatever the number of core
 * boxes, and changes that come together go together.
 */
export class Relay {
  readonly #options: RelayOptions;
  readonly #subscribers = new Map<string, number>();
  readonly #subscriberRefreshes = new RefreshBatch();
  readonly #coreRefreshes = new RefreshBatch();
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

  /** Begins to pass refreshes on. */
  start(): void {
    if (this.#isStopped) return;
    const { clock, listCoreIds: listCoreIds } = this.#options;
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

  #sendBatch(batch: RefreshBatch, targets: readonly string[]): void {
    const { createMessage: createMessage, getOwnRefresh, send: send } =
      this.#options;
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

  /** Notes that a box wants to hear from this one for a while. */
  subscribe(id: string): void {
    const expiresAtMs = this.#options.clock.getMonotonicMs() + SUBSCRIPTION_MS;
    this.#subscribers.set(id, expiresAtMs);
  }

  /** Ids of the boxes that chose this one. */
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

  /** Passes a changed record on, soon. */
  addBox(box: boxRecords.BoxRecord): void {
    this.#queuedBoxes.set(box.id, box);
    this.#delayedFlush.schedule();
  }

  /** Passes a changed report on; at once where the server takes no more. */
  addServer(server: registry.ServerReport): void {
    this.#queuedServers.set(server.id, server);
    if (server.phase === "ready") this.#delayedFlush.schedule();
    else this.#flush();
  }

  /** Passes on at once that servers ended under a piece of work. */
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
    const { listCoreIds: listCoreIds, send: send } = this.#options;
    const targets = new Set([...this.listSubscribers(), ...listCoreIds()]);
    for (const id of targets) send(id, message);
  }
}

/** The newest refresh of each box and server since the last relay. */
class RefreshBatch {
  readonly #boxes = new Map<string, protocol.BoxRefresh>();
  readonly #servers = new Map<string, protocol.ServerRefresh>();

  addBox(refresh: protocol.BoxRefresh): void {
    this.#boxes.set(refresh.id, refresh);
  }

  addServer(refresh: protocol.ServerRefresh): void {
    this.#servers.set(refresh.id, refresh);
  }

  /** Gives what was gathered and begins anew. */
  drain(): Pick<protocol.GossipMessage, "boxRefreshes" | "serverRefreshes"> {
    const boxRefreshes = [...this.#boxes.values()];
    const serverRefreshes = [...this.#servers.values()];
    this.#boxes.clear();
    this.#servers.clear();
    return { boxRefreshes, serverRefreshes };
  }
}
