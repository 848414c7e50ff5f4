import * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxDirectories from "./box_directory.ts";
import * as boxRecords from "./box_record.ts";
import * as configurationNews from "./_configuration_news.ts";
import * as crashNews from "./_crash_news.ts";
import * as news from "./news.ts";
import * as relays from "./_relay.ts";
import * as syncDesks from "./_sync_desk.ts";
import * as syncLoops from "./_sync_loop.ts";
import type * as peerPools from "./peer_pool.ts";

/** Between two refreshes of a box's own record, in ms; see BOX_SILENCE_MS. */
const REFRESH_MS = 500;
/**
 * Pause before all boxes are told which configuration is newest, in ms. Those
 * that chose this box have it by then, and only the others fetch it.
 */
const BRIEF_MS = 150;
/** Silence after which another core box is chosen to relay, in ms. */
const RELAY_SILENCE_MS = 1_200;

/** What a fleet link needs. */
export interface FleetLinkOptions
  extends Omit<crashNews.CrashNewsOptions, "onLearned"> {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly directory: boxDirectories.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly peers: peerPools.Peers;
  readonly server: rpc.MethodRegistry;
  /** Ids of the boxes to ask first. */
  readonly seeds: readonly string[];
  /** Record of this box; the link numbers it. */
  readonly describeSelf: () => Omit<boxRecords.BoxRecord, "sequence">;
}

/**
 * Spreads what boxes know of boxes, servers and the configuration. Every box
 * tells the core boxes; each of these passes it on to the boxes that chose it.
 */
export class FleetLink {
  readonly #options: FleetLinkOptions;
  readonly #id: string;
  readonly #relay: relays.Relay;
  readonly #tellVersionSoon: clocks.CoalescedCall;
  /** Refreshes that a box without a relay of its own has to tell. */
  readonly #serverRefreshes = new Map<string, news.ServerRefresh>();
  #own: boxRecords.BoxRecord;
  readonly #sync: syncLoops.SyncLoop;
  readonly #configuration: configurationNews.ConfigurationNews;
  readonly #crashes: crashNews.CrashNews;
  #isStopped = false;

  constructor(options: FleetLinkOptions) {
    this.#options = options;
    this.#own = { ...options.describeSelf(), sequence: 0 };
    this.#id = this.#own.id;
    options.directory.merge(this.#own);
    this.#tellVersionSoon = new clocks.CoalescedCall({
      clock: options.clock,
      delayMs: BRIEF_MS,
      action: () => {
        if (!this.#isStopped) this.#tellAll(this.#createNews());
      },
    });
    this.#relay = new relays.Relay({
      clock: options.clock,
      createNews: () => this.#createNews(),
      getOwnRefresh: () => news.createBoxRefresh(this.#own),
      listCore: () => this.#listCore(),
      tell: (id, message) => this.#tell(id, message),
    });
    this.#configuration = new configurationNews.ConfigurationNews({
      ...options,
      onTaken: () => this.publishConfiguration(),
    });
    this.#crashes = new crashNews.CrashNews({
      ...options,
      onLearned: (record) => {
        if (this.#own.isCore) this.#relay.addCrash(record);
      },
    });
    const desk = new syncDesks.SyncDesk({
      ...options,
      getOwn: () => this.#own,
    });
    this.#sync = new syncLoops.SyncLoop({
      ...options,
      chooseRelay: () => this.#chooseRelay(),
      listSources: () => this.#listSources(),
      createRequest: (ids) => desk.createRequest(ids),
      onReply: (reply, from) => this.#takeReply(reply, from),
    });
    options.server.add(
      news.METHODS.news,
      (message: news.News) => this.#receive(message),
    );
    options.server.add(
      news.METHODS.sync,
      (request: news.SyncRequest) => {
        this.#mergeBox(request.record);
        return desk.answer(request);
      },
    );
    options.server.add(
      news.METHODS.readConfiguration,
      () => ({ configuration: options.configuration.getStored() }),
    );
  }

  /** Begins to exchange news. */
  start(): void {
    this.#runRefresh();
    void this.#sync.run();
    if (this.#own.isCore) this.#relay.start();
  }

  stop(): void {
    this.#isStopped = true;
    this.#sync.stop();
    this.#relay.stop();
  }

  /** Tells the others at once what this box now says of itself. */
  publishSelf(): void {
    this.#refreshOwn();
    this.#spread({ ...this.#createNews(), boxes: [this.#own] });
  }

  /** Tells the others at once what a server reports. */
  publishServer(server: registry.ServerReport): void {
    this.#spread({ ...this.#createNews(), servers: [server] });
  }

  /** Tells the others at once that servers ended under a piece of work. */
  publishCrash(record: crashRecords.CrashRecord): void {
    this.#spread({ ...this.#createNews(), crashes: [record] });
  }

  /** Passes on that a server still runs as it did. */
  refreshServer(server: registry.ServerReport): void {
    const refresh = news.createServerRefresh(server);
    if (this.#own.isCore) this.#relay.refreshServer(refresh);
    else this.#serverRefreshes.set(server.id, refresh);
  }

  /** Tells the others of a newer configuration. */
  publishConfiguration(): void {
    if (!this.#own.isCore) return;
    const full = {
      ...this.#createNews(),
      configuration: this.#options.configuration.getStored(),
    };
    for (const id of this.#relay.listSubscribers()) this.#tell(id, full);
    this.#tellVersionSoon.schedule();
  }

  #createNews(): news.News {
    return news.createNews(
      this.#id,
      this.#options.configuration.getVersion(),
    );
  }

  #tell(id: string, message: news.News): void {
    this.#options.peers.get(id).notify(news.METHODS.news, message);
  }

  #refreshOwn(): void {
    const { directory, describeSelf } = this.#options;
    this.#own = { ...describeSelf(), sequence: this.#own.sequence + 1 };
    directory.merge(this.#own);
  }

  #listOthers(): readonly string[] {
    return this.#options.directory.listAlive().map((box) => box.id)
      .filter((id) => id !== this.#id);
  }

  /** Core boxes, silent ones too; the seeds where none is known. */
  #listCore(): readonly string[] {
    const core = this.#options.directory.listAll().filter((box) => box.isCore)
      .map((box) => box.id);
    const known = core.length > 0 ? core : this.#options.seeds;
    return known.filter((id) => id !== this.#id);
  }

  /** Boxes that may know what this one does not. */
  #listSources(): readonly string[] {
    const ids = new Set([...this.#options.seeds, ...this.#listCore()]);
    ids.delete(this.#id);
    return [...ids].toSorted();
  }

  /** Sends a change to all boxes from a core box, else to the core boxes. */
  #spread(message: news.News): void {
    if (this.#own.isCore) return this.#tellAll(message);
    for (const id of this.#listCore()) this.#tell(id, message);
  }

  #tellAll(message: news.News): void {
    for (const id of this.#listOthers()) this.#tell(id, message);
  }

  #chooseRelay(): string | undefined {
    const { directory } = this.#options;
    const heard = directory.listAlive().filter((box) =>
      box.isCore && !box.isLeaving && box.id !== this.#id &&
      directory.getSilenceMs(box.id) < RELAY_SILENCE_MS
    );
    const near = heard.find((box) =>
      box.failureDomain === this.#own.failureDomain
    );
    return (near ?? heard[0])?.id;
  }

  #runRefresh(): void {
    if (this.#isStopped) return;
    this.#refreshOwn();
    const message: news.News = {
      ...this.#createNews(),
      boxRefreshes: [news.createBoxRefresh(this.#own)],
      serverRefreshes: this.#takeServerRefreshes(),
    };
    const relay = this.#chooseRelay();
    const wish: news.News = { ...message, wantsRelay: true };
    for (const core of this.#listCore()) {
      this.#tell(core, core === relay ? wish : message);
    }
    this.#options.clock.startTimer(REFRESH_MS, () => this.#runRefresh());
  }

  #takeServerRefreshes(): readonly news.ServerRefresh[] {
    const taken = [...this.#serverRefreshes.values()];
    this.#serverRefreshes.clear();
    return taken;
  }

  #takeReply(reply: news.SyncReply, from: string): void {
    for (const box of reply.boxes) this.#mergeBox(box);
    for (const server of reply.servers) this.#mergeServer(server, from);
    this.#configuration.offer(reply.configuration);
    const untold = this.#crashes.compare(reply.crashes);
    if (untold.length === 0) return;
    this.#tell(from, { ...this.#createNews(), crashes: untold });
  }

  #receive(message: news.News): void {
    const { from } = message;
    if (message.wantsRelay) this.#relay.subscribe(from);
    for (const box of message.boxes) this.#mergeBox(box);
    for (const server of message.servers) this.#mergeServer(server, from);
    const unknown = [
      ...message.boxRefreshes.filter((item) => !this.#takeBoxRefresh(item)),
      ...message.serverRefreshes.filter((item) =>
        !this.#takeServerRefresh(item)
      ),
    ];
    if (unknown.length > 0) {
      this.#sync.fetch(from, unknown.map((item) => item.id));
    }
    this.#crashes.take(message.crashes);
    this.#configuration.offer(message.configuration);
    this.#configuration.fetchIfBehind(message);
  }

  #mergeBox(box: boxRecords.BoxRecord): void {
    if (box.id === this.#id) return;
    const outcome = this.#options.directory.merge(box);
    if (outcome !== "changed") return;
    this.#options.log.write("info", "fleet.box", {
      peer: box.id,
      name: box.name,
      ready: box.isReady,
      leaving: box.isLeaving,
      sequence: box.sequence,
    });
    if (this.#own.isCore) this.#relay.addBox(box);
  }

  #mergeServer(server: registry.ServerReport, source: string): void {
    const outcome = this.#options.servers.merge(server);
    if (outcome !== "changed") return;
    this.#options.log.write("info", "server.changed", {
      server: server.id,
      born: server.born,
      service: server.service,
      phase: server.phase,
      sequence: server.sequence,
      source,
    });
    if (this.#own.isCore) this.#relay.addServer(server);
  }

  /** Takes a refresh of a box; false when its record must be fetched. */
  #takeBoxRefresh(refresh: news.BoxRefresh): boolean {
    if (refresh.id === this.#id) return true;
    const { directory } = this.#options;
    const known = directory.get(refresh.id);
    if (known === undefined) return false;
    if (boxRecords.describeContent(known) !== refresh.content) return false;
    const outcome = directory.merge({ ...known, sequence: refresh.sequence });
    if (outcome !== "old" && this.#own.isCore) this.#relay.refreshBox(refresh);
    return true;
  }

  /** Takes a refresh of a server; false when its report must be fetched. */
  #takeServerRefresh(refresh: news.ServerRefresh): boolean {
    const { servers } = this.#options;
    const known = servers.get(refresh.id);
    if (known === undefined) return false;
    switch (registry.compareLifetimes(refresh, known)) {
      case "former":
        return true;
      case "later":
        return false;
      case "same":
        break;
    }
    if (refresh.sequence <= known.sequence) return true;
    if (registry.createContentKey(known) !== refresh.content) return false;
    const outcome = servers.merge({ ...known, sequence: refresh.sequence });
    if (outcome !== "old" && this.#own.isCore) {
      this.#relay.refreshServer(refresh);
    }
    return true;
  }
}
