import * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as boxRecords from "./box_record.ts";
import type * as news from "./news.ts";

/** Between two relays of refreshes to subscribers, in ms. */
const REFRESH_MS = 250;
/**
 * Relays of refreshes to subscribers for each one to the other core boxes.
 * Plain boxes tell every core box of themselves, so another core box needs the
 * relayed refreshes only where a plain box can't reach it; once a second is
 * then often enough, as a box is taken for gone after 1.8 s. With 28 boxes the
 * relays between core boxes carried 5 of the 10 MB of refreshes that crossed
 * failure domains in 50 s.
 */
const RELAYS_PER_CORE_RELAY = 4;
/**
 * Time for which changes are gathered, in ms. When many boxes start at once
 * each tells of itself; one message then carries tens of records.
 */
const GATHER_MS = 30;
/** How long a subscription lasts, in ms; renewed by each refresh of a box. */
const LEASE_MS = 2_000;

/** What a relay needs. */
export interface RelayOptions {
  readonly clock: clocks.Clock;
  /** Makes news of this box that say nothing yet. */
  readonly createNews: () => news.News;
  /** Refresh of this box's own record. */
  readonly getOwnRefresh: () => news.BoxRefresh;
  /** Ids of the other core boxes. */
  readonly listCore: () => readonly string[];
  readonly tell: (id: string, message: news.News) => void;
}

/**
 * Passes on what a core box heard: to the boxes that chose it, and to the other
 * core boxes. Each change so reaches a box once, whatever the number of core
 * boxes, and changes that come together go together.
 */
export class Relay {
  readonly #options: RelayOptions;
  readonly #subscribers = new Map<string, number>();
  readonly #forSubscribers = new RefreshBatch();
  readonly #forCore = new RefreshBatch();
  readonly #boxes = new Map<string, boxRecords.BoxRecord>();
  readonly #servers = new Map<string, registry.ServerReport>();
  readonly #flushSoon: clocks.CoalescedCall;
  #turn = 0;
  #isStopped = false;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#flushSoon = new clocks.CoalescedCall({
      clock: options.clock,
      delayMs: GATHER_MS,
      action: () => this.#flush(),
    });
  }

  /** Begins to pass refreshes on. */
  start(): void {
    if (this.#isStopped) return;
    const { clock, listCore } = this.#options;
    const core = listCore();
    this.#turn += 1;
    if (this.#turn % RELAYS_PER_CORE_RELAY === 0) {
      this.#tellBatch(this.#forCore, core);
    }
    const subscribers = this.listSubscribers().filter((id) =>
      !core.includes(id)
    );
    this.#tellBatch(this.#forSubscribers, subscribers);
    clock.startTimer(REFRESH_MS, () => this.start());
  }

  #tellBatch(batch: RefreshBatch, targets: readonly string[]): void {
    const { createNews, getOwnRefresh, tell } = this.#options;
    const { boxRefreshes, serverRefreshes } = batch.take();
    const message: news.News = {
      ...createNews(),
      boxRefreshes: [...boxRefreshes, getOwnRefresh()],
      serverRefreshes,
    };
    for (const id of targets) tell(id, message);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Notes that a box wants to hear from this one for a while. */
  subscribe(id: string): void {
    const untilMs = this.#options.clock.getMonotonicMs() + LEASE_MS;
    this.#subscribers.set(id, untilMs);
  }

  /** Ids of the boxes that chose this one. */
  listSubscribers(): readonly string[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [id, untilMs] of this.#subscribers) {
      if (untilMs <= nowMs) this.#subscribers.delete(id);
    }
    return [...this.#subscribers.keys()];
  }

  refreshBox(refresh: news.BoxRefresh): void {
    this.#forSubscribers.addBox(refresh);
    this.#forCore.addBox(refresh);
  }

  refreshServer(refresh: news.ServerRefresh): void {
    this.#forSubscribers.addServer(refresh);
    this.#forCore.addServer(refresh);
  }

  /** Passes a changed record on, soon. */
  addBox(box: boxRecords.BoxRecord): void {
    this.#boxes.set(box.id, box);
    this.#flushSoon.schedule();
  }

  /** Passes a changed report on; at once where the server takes no more. */
  addServer(server: registry.ServerReport): void {
    this.#servers.set(server.id, server);
    if (server.phase === "ready") this.#flushSoon.schedule();
    else this.#flush();
  }

  /** Passes on at once that servers ended under a piece of work. */
  addCrash(record: crashRecords.CrashRecord): void {
    if (this.#isStopped) return;
    this.#tellTargets({ ...this.#options.createNews(), crashes: [record] });
  }

  #flush(): void {
    if (this.#isStopped) return;
    if (this.#boxes.size === 0 && this.#servers.size === 0) return;
    this.#tellTargets({
      ...this.#options.createNews(),
      boxes: [...this.#boxes.values()],
      servers: [...this.#servers.values()],
    });
    this.#boxes.clear();
    this.#servers.clear();
  }

  #tellTargets(message: news.News): void {
    const { listCore, tell } = this.#options;
    const targets = new Set([...this.listSubscribers(), ...listCore()]);
    for (const id of targets) tell(id, message);
  }
}

/** The newest refresh of each box and server since the last relay. */
class RefreshBatch {
  readonly #boxes = new Map<string, news.BoxRefresh>();
  readonly #servers = new Map<string, news.ServerRefresh>();

  addBox(refresh: news.BoxRefresh): void {
    this.#boxes.set(refresh.id, refresh);
  }

  addServer(refresh: news.ServerRefresh): void {
    this.#servers.set(refresh.id, refresh);
  }

  /** Gives what was gathered and begins anew. */
  take(): Pick<news.News, "boxRefreshes" | "serverRefreshes"> {
    const boxRefreshes = [...this.#boxes.values()];
    const serverRefreshes = [...this.#servers.values()];
    this.#boxes.clear();
    this.#servers.clear();
    return { boxRefreshes, serverRefreshes };
  }
}
