import * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxDirectories from "./box_directory.ts";
import * as boxRecords from "./box_record.ts";
import * as relayChoices from "./_choose_relay.ts";
import * as configurationSyncs from "./_configuration_sync.ts";
import * as crashSyncs from "./_crash_sync.ts";
import type * as failureRecorders from "./failure_recorder.ts";
import * as protocol from "./protocol.ts";
import * as refreshBatches from "./_refresh_batch.ts";
import * as relays from "./_relay.ts";
import * as syncServices from "./_sync_service.ts";
import * as syncLoops from "./_sync_loop.ts";
import type * as peerPools from "./peer_pool.ts";

/** Interval of own-record refreshes, in ms; several fit in BOX_TIMEOUT_MS. */
const REFRESH_INTERVAL_MS = 500;
/**
 * Delay before a new configuration version is announced to all boxes, in ms.
 * Subscribers have received the configuration by then and do not fetch it.
 */
const VERSION_DELAY_MS = 150;

/** Dependencies of a fleet gossip instance. */
export interface FleetGossipOptions
  extends Omit<crashSyncs.CrashSyncOptions, "onLearned"> {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly failures: failureRecorders.FailureRecorder;
  readonly directory: boxDirectories.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly peers: peerPools.Peers;
  readonly server: rpc.MethodRegistry;
  /** Ids of the boxes to contact at startup. */
  readonly seeds: readonly string[];
  /** Returns the current record of this box, without its sequence number. */
  readonly describeSelf: () => Omit<boxRecords.BoxRecord, "sequence">;
}

/**
 * Propagates the state of boxes, backend servers, crash records and the
 * configuration between boxes. Every box sends its changes to the core boxes;
 * each core box relays them to the boxes that subscribed to it.
 */
export class FleetGossip {
  readonly #options: FleetGossipOptions;
  readonly #id: string;
  readonly #relay: relays.Relay;
  readonly #versionAnnouncement: clocks.CoalescedCall;
  /** On non-core boxes: refreshes of servers to send with the next round. */
  readonly #refreshes = new refreshBatches.RefreshBatch();
  #self: boxRecords.BoxRecord;
  readonly #syncLoop: syncLoops.SyncLoop;
  readonly #configurationSync: configurationSyncs.ConfigurationSync;
  readonly #crashSync: crashSyncs.CrashSync;
  #isStopped = false;

  constructor(options: FleetGossipOptions) {
    this.#options = options;
    this.#self = { ...options.describeSelf(), sequence: 0 };
    this.#id = this.#self.id;
    options.directory.merge(this.#self);
    this.#versionAnnouncement = new clocks.CoalescedCall({
      clock: options.clock,
      delayMs: VERSION_DELAY_MS,
      action: () => {
        if (!this.#isStopped) this.#sendToAll(this.#createMessage());
      },
    });
    this.#relay = new relays.Relay({
      clock: options.clock,
      createMessage: () => this.#createMessage(),
      getOwnRefresh: () => protocol.createBoxRefresh(this.#self),
      listCoreIds: () => this.#listCoreIds(),
      send: (id, message) => this.#send(id, message),
    });
    this.#configurationSync = new configurationSyncs.ConfigurationSync({
      ...options,
      onUpdated: () => this.publishConfiguration(),
    });
    this.#crashSync = new crashSyncs.CrashSync({
      ...options,
      onLearned: (record) => {
        if (this.#self.isCore) this.#relay.addCrash(record);
      },
    });
    const syncService = new syncServices.SyncService({
      ...options,
      getOwnRecord: () => this.#self,
    });
    this.#syncLoop = new syncLoops.SyncLoop({
      ...options,
      chooseRelay: () =>
        relayChoices.chooseRelay(options.directory, this.#self),
      listSourceIds: () => this.#listSourceIds(),
      createRequest: (ids) => syncService.createRequest(ids),
      onReply: (reply, from) => this.#handleReply(reply, from),
    });
    options.server.add(
      protocol.METHODS.news,
      (message: protocol.GossipMessage) => this.#handleMessage(message),
    );
    options.server.add(
      protocol.METHODS.sync,
      (request: protocol.SyncRequest) => {
        this.#mergeBox(request.record);
        return syncService.handleRequest(request);
      },
    );
    options.server.add(
      protocol.METHODS.readConfiguration,
      () => ({ configuration: options.configuration.getStored() }),
    );
  }

  /** Starts the periodic refreshes, the sync loop and, on core boxes, the relay. */
  start(): void {
    this.#sendRefreshes();
    void this.#syncLoop.run();
    if (this.#self.isCore) this.#relay.start();
  }

  stop(): void {
    this.#isStopped = true;
    this.#syncLoop.stop();
    this.#relay.stop();
  }

  /** Sends this box's current record to the others at once. */
  publishSelf(): void {
    this.#updateOwnRecord();
    this.#broadcast({ ...this.#createMessage(), boxes: [this.#self] });
  }

  /** Sends a changed server report to the others at once. */
  publishServer(server: registry.ServerReport): void {
    this.#broadcast({ ...this.#createMessage(), servers: [server] });
  }

  /** Sends a crash record to the others at once. */
  publishCrash(record: crashRecords.CrashRecord): void {
    this.#broadcast({ ...this.#createMessage(), crashes: [record] });
  }

  /** Queues a refresh for a server whose report has not changed. */
  refreshServer(server: registry.ServerReport): void {
    const refresh = protocol.createServerRefresh(server);
    if (this.#self.isCore) this.#relay.refreshServer(refresh);
    else this.#refreshes.addServer(refresh);
  }

  /** Sends the configuration to subscribers, and soon its version to all boxes. */
  publishConfiguration(): void {
    if (!this.#self.isCore) return;
    const message = {
      ...this.#createMessage(),
      configuration: this.#options.configuration.getStored(),
    };
    for (const id of this.#relay.listSubscribers()) this.#send(id, message);
    this.#versionAnnouncement.schedule();
  }

  #createMessage(): protocol.GossipMessage {
    return protocol.createGossipMessage(
      this.#id,
      this.#options.configuration.getVersion(),
    );
  }

  #send(id: string, message: protocol.GossipMessage): void {
    this.#options.peers.get(id).notify(protocol.METHODS.news, message);
  }

  #updateOwnRecord(): void {
    const { directory, describeSelf } = this.#options;
    this.#self = { ...describeSelf(), sequence: this.#self.sequence + 1 };
    directory.merge(this.#self);
  }

  #listOtherIds(): readonly string[] {
    return this.#options.directory.listAlive().map((box) => box.id)
      .filter((id) => id !== this.#id);
  }

  /** Ids of the core boxes, silent ones included; the seeds if none is known. */
  #listCoreIds(): readonly string[] {
    const core = this.#options.directory.listAll().filter((box) => box.isCore)
      .map((box) => box.id);
    const ids = core.length > 0 ? core : this.#options.seeds;
    return ids.filter((id) => id !== this.#id);
  }

  /** Ids of the seeds and core boxes, sorted, without this box. */
  #listSourceIds(): readonly string[] {
    const ids = new Set([...this.#options.seeds, ...this.#listCoreIds()]);
    ids.delete(this.#id);
    return [...ids].toSorted();
  }

  /** Sends a change to all boxes if this is a core box, else to the core boxes. */
  #broadcast(message: protocol.GossipMessage): void {
    if (this.#self.isCore) return this.#sendToAll(message);
    for (const id of this.#listCoreIds()) this.#send(id, message);
  }

  #sendToAll(message: protocol.GossipMessage): void {
    for (const id of this.#listOtherIds()) this.#send(id, message);
  }

  #sendRefreshes(): void {
    if (this.#isStopped) return;
    this.#updateOwnRecord();
    const message: protocol.GossipMessage = {
      ...this.#createMessage(),
      boxRefreshes: [protocol.createBoxRefresh(this.#self)],
      serverRefreshes: this.#refreshes.drain().serverRefreshes,
    };
    const relay = relayChoices.chooseRelay(
      this.#options.directory,
      this.#self,
    );
    const toRelay: protocol.GossipMessage = { ...message, wantsRelay: true };
    for (const coreId of this.#listCoreIds()) {
      this.#send(coreId, coreId === relay ? toRelay : message);
    }
    this.#options.clock.startTimer(
      REFRESH_INTERVAL_MS,
      () => this.#sendRefreshes(),
    );
  }

  /** Merges a sync reply; the configuration first, as a bad part ends the merge. */
  #handleReply(reply: protocol.SyncReply, from: string): void {
    this.#configurationSync.offer(reply.configuration, "sync");
    for (const box of reply.boxes) this.#mergeBox(box);
    for (const server of reply.servers) this.#mergeServer(server, from);
    const crashNews = this.#crashSync.reconcile(reply);
    if (crashNews === undefined) return;
    this.#send(from, { ...this.#createMessage(), ...crashNews });
  }

  /** Merges a message; the configuration first, as in a sync reply. */
  #handleMessage(message: protocol.GossipMessage): void {
    const { from } = message;
    this.#configurationSync.offer(message.configuration, "push");
    this.#configurationSync.fetchIfOutdated(message);
    this.#notifyIfOutdated(message);
    if (message.wantsRelay) this.#relay.subscribe(from);
    for (const box of message.boxes) this.#mergeBox(box);
    for (const server of message.servers) this.#mergeServer(server, from);
    const outdated = [
      ...message.boxRefreshes.filter((item) => !this.#applyBoxRefresh(item)),
      ...message.serverRefreshes.filter((item) =>
        !this.#applyServerRefresh(item)
      ),
    ];
    if (outdated.length > 0) {
      this.#syncLoop.fetch(from, outdated.map((item) => item.id));
    }
    this.#crashSync.merge(message);
  }

  /**
   * Tells the version of this core box to a sender that has an older one. Every
   * box sends its refreshes to all core boxes, so a lost announcement is made up
   * for within REFRESH_INTERVAL_MS, whichever relay the box has.
   */
  #notifyIfOutdated(message: protocol.GossipMessage): void {
    if (!this.#self.isCore || this.#isStopped) return;
    if (!this.#configurationSync.isSenderOutdated(message)) return;
    this.#send(message.from, this.#createMessage());
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
    if (this.#self.isCore) this.#relay.addBox(box);
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
    if (this.#self.isCore) this.#relay.addServer(server);
  }

  /** Applies a box refresh; returns false if the record must be fetched. */
  #applyBoxRefresh(refresh: protocol.BoxRefresh): boolean {
    if (refresh.id === this.#id) return true;
    const { directory } = this.#options;
    const known = directory.get(refresh.id);
    if (known === undefined) return false;
    if (boxRecords.describeContent(known) !== refresh.content) return false;
    const outcome = directory.merge({ ...known, sequence: refresh.sequence });
    if (outcome !== "old" && this.#self.isCore) this.#relay.refreshBox(refresh);
    return true;
  }

  /** Applies a server refresh; returns false if the report must be fetched. */
  #applyServerRefresh(refresh: protocol.ServerRefresh): boolean {
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
    if (outcome !== "old" && this.#self.isCore) {
      this.#relay.refreshServer(refresh);
    }
    return true;
  }
}
