import type * as http from "node:http";
import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as usages from "../usage/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as boxParts from "./box_parts.ts";
import * as callerCalls from "./caller_calls.ts";
import * as chooseEntryBoxes from "./_choose_entry_boxes.ts";
import * as controlCalls from "./control_calls.ts";
import * as duties from "./_duty_settings.ts";
import * as rawListeners from "./_raw_listener.ts";

/** Largest body of a control call, in bytes; a configuration has some 100 KB. */
const MAX_CONTROL_BYTES = 16 * 1024 * 1024;
/** Time in which the body of a control call must arrive, in ms. */
const CONTROL_RECEIVE_MS = 5_000;
/** Core replicas at most; an odd number, so that a half has no quorum. */
const MAX_CORE_VOTERS = 9;
const CORE_SNAPSHOT_ENTRIES = 64;
/** Share of the longest time that callers keep addresses. */
const KEEP_SHARE = 0.4;
/** Addresses in one answer at most; callers read no more. */
const MAX_ADDRESSES = 64;

/** The listeners and services of an entry box. */
export class EntryBox {
  readonly #parts: boxParts.BoxParts;
  readonly #callers: httpServer.HttpListener;
  readonly #others: readonly httpServer.HttpListener[];
  readonly #control: httpServer.HttpListener;
  readonly #ready: httpServer.HttpListener;
  readonly #directory: httpServer.HttpListener;
  readonly #controlCalls: controlCalls.ControlCalls;
  readonly #core: replicaGroups.ReplicaGroup | undefined;
  readonly #usage: usages.UsageTeller | undefined;

  constructor(parts: boxParts.BoxParts) {
    this.#parts = parts;
    new replicaGroups.FoundingDesk({
      ...parts,
      isFirstStart: parts.settings.isFirstStart,
    });
    const core = boxParts.createLeaderCaller(parts, boxParts.isCoreBox);
    const stores = boxParts.createLeaderCaller(parts, boxParts.isStoreBox);
    this.#controlCalls = new controlCalls.ControlCalls({
      ...parts,
      core,
      stores,
    });
    this.#usage = createUsageTeller(parts, stores);
    const calls = new callerCalls.CallerCalls({
      ...parts,
      stores,
      usage: this.#usage,
      failureDomain: parts.settings.box.failureDomain,
    });
    const { log } = parts;
    this.#callers = rawListeners.createRawListener(
      (request, response) => calls.serve(request, response),
      log,
    );
    this.#control = rawListeners.createRawListener(
      (request, response) => this.#serveControl(request, response),
      log,
    );
    this.#ready = rawListeners.createRawListener(
      (_request, response) => this.#serveReady(response),
      log,
    );
    this.#directory = rawListeners.createRawListener(
      (request, response) => this.#serveAddresses(request, response),
      log,
    );
    this.#others = [this.#control, this.#ready, this.#directory];
    this.#core = this.#createCore();
  }

  /** Starts to listen; callers come once a configuration is in force. */
  async start(): Promise<void> {
    const { listen } = this.#parts.settings;
    await listenAt(this.#control, listen.control);
    await listenAt(this.#ready, listen.ready);
    await listenAt(this.#directory, listen.directory);
    await listenAt(this.#callers, listen.caller);
    this.#usage?.start();
  }

  /** Joins the core where this box has a disk; waits for the founding. */
  async join(): Promise<void> {
    await this.#core?.start();
  }

  /** Term in which this box leads the core; 0 where it does not. */
  getLeadTerm(): number {
    return this.#core?.getLeadTerm() ?? 0;
  }

  getInFlight(): number {
    return this.#callers.getInFlightCount();
  }

  /** Follows what the configuration says of connections. */
  followLimits(): void {
    const limits = this.#parts.configuration.get()?.limits;
    if (limits === undefined) return;
    this.#callers.setConnectionTimeouts({
      headersMs: limits.headerTimeoutMs,
      idleMs: limits.idleTimeoutMs,
    });
  }

  /** Hands leadership over, and asks callers to go elsewhere. */
  async setDraining(): Promise<void> {
    this.#callers.startDraining();
    for (const listener of this.#others) listener.startDraining();
    await this.#core?.resign();
  }

  async stop(): Promise<void> {
    for (const listener of [this.#callers, ...this.#others]) {
      listener.close(false);
    }
    this.#usage?.stop();
    await this.#core?.stop();
  }

  #createCore(): replicaGroups.ReplicaGroup | undefined {
    const { settings, server } = this.#parts;
    if (settings.dataFolder === undefined) return undefined;
    const machine = this.#createMachine();
    const group = new replicaGroups.ReplicaGroup({
      ...this.#parts,
      name: "core",
      id: settings.box.address,
      failureDomain: settings.box.failureDomain,
      dataFolder: settings.dataFolder,
      isFirstStart: settings.isFirstStart,
      wanted: MAX_CORE_VOTERS,
      least: 2 * settings.lossesToBear + 1,
      snapshotEntries: CORE_SNAPSHOT_ENTRIES,
      seeds: settings.seeds.map((seed) => seed.address),
      machine,
      canVote: boxParts.isCoreBox,
      listRetiring: () => [],
    });
    new trafficConfig.ConfigurationService({ server, group, machine });
    return group;
  }

  /** What a round of the log brings is put in force once, not one by one. */
  #createMachine(): trafficConfig.ConfigurationMachine {
    const { clock, configuration, link } = this.#parts;
    const followSoon = new clocks.CoalescedCall({
      clock,
      delayMs: 0,
      action: () => {
        const stored = machine.getStored();
        if (stored === undefined || !configuration.update(stored)) return;
        link.publishConfiguration();
      },
    });
    const machine = new trafficConfig.ConfigurationMachine(() =>
      followSoon.schedule()
    );
    return machine;
  }

  async #serveControl(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await httpServer.readBody(request, {
      maxBodyBytes: MAX_CONTROL_BYTES,
      receiveTimeoutMs: CONTROL_RECEIVE_MS,
    });
    const raw = rawListeners.toRawRequest(request);
    const answer = body.kind === "ok"
      ? await this.#controlCalls.answer(raw, body.value)
      : this.#parts.dialect.formatFailure(body.failure);
    rawListeners.writeAnswer(response, answer);
  }

  #serveReady(response: http.ServerResponse): Promise<void> {
    const { dialect, phase } = this.#parts;
    rawListeners.writeAnswer(
      response,
      phase.isReady && !phase.isLeaving
        ? dialect.formatDone()
        : this.#refuse("noLease", "Not ready"),
    );
    return Promise.resolve();
  }

  #refuse(code: results.ResultCodeName, message: string): dialects.RawAnswer {
    const { failure } = results.createFailure(code, message);
    return this.#parts.dialect.formatFailure(failure);
  }

  #serveAddresses(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { dialect, settings } = this.#parts;
    const raw = rawListeners.toRawRequest(request);
    const query = dialect.parseAddressQuery(raw);
    const addresses = query === undefined
      ? []
      : this.#listAddresses(query.failureDomain);
    const keepMs = settings.bounds.addressesKeepMs * KEEP_SHARE;
    rawListeners.writeAnswer(
      response,
      addresses.length === 0
        ? this.#refuse("noLease", "Cannot answer: no box is ready")
        : dialect.formatAddresses(addresses, keepMs),
    );
    return Promise.resolve();
  }

  #listAddresses(failureDomain: string): readonly string[] {
    const { directory } = this.#parts;
    return chooseEntryBoxes.chooseEntryBoxes({
      alive: directory.listAlive(),
      failureDomain,
      getSilenceMs: (id) => directory.getSilenceMs(id),
    }).slice(0, MAX_ADDRESSES).flatMap((box) => box.callerAddress ?? []);
  }
}

/** Counts usage where the settings ask for its report. */
function createUsageTeller(
  parts: boxParts.BoxParts,
  stores: replicaGroups.LeaderCaller,
): usages.UsageTeller | undefined {
  const { clock, settings, directory } = parts;
  const times = duties.getUsageTimes(settings);
  if (times === undefined) return undefined;
  return new usages.UsageTeller({
    clock,
    stores,
    times,
    source: `${settings.box.address} ${clock.getWallMs()}`,
    describeLeader: () => {
      const leader = boxParts.findLeader(
        directory.listAll().filter(boxParts.isStoreBox),
      );
      return `${leader?.id} ${leader?.ledTerm}`;
    },
  });
}

async function listenAt(
  listener: httpServer.HttpListener,
  endpoint: fleetSettings.Endpoint | undefined,
): Promise<void> {
  if (endpoint === undefined) return;
  await listener.listen(endpoint.address, endpoint.port);
}
