import type * as http from "node:http";
import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import type * as results from "../results/mod.ts";
import * as usages from "../usage/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as addressLifetimes from "./_address_lifetime.ts";
import * as boxComponents from "./box_components.ts";
import * as callerHandlers from "./caller_handler.ts";
import * as chooseEntryBoxes from "./_choose_entry_boxes.ts";
import * as controlHandlers from "./control_handler.ts";
import * as dutySettings from "./_duty_settings.ts";
import * as endExchanges from "./_end_exchanges.ts";
import * as entryListeners from "./_entry_listeners.ts";
import * as formatRefusals from "./_format_refusal.ts";
import * as rawListeners from "./_raw_listener.ts";

/** Largest body of a control call, in bytes. */
const MAX_CONTROL_BODY_BYTES = 16 * 1024 * 1024;
/** Timeout for receiving the body of a control call, in ms. */
const CONTROL_BODY_TIMEOUT_MS = 5_000;
/** Largest number of voters in the core group; odd to avoid even splits. */
const MAX_CORE_VOTERS = 9;
/** Log entries between snapshots of the core group. */
const CORE_SNAPSHOT_ENTRIES = 64;
/** Largest number of addresses in one answer. */
const MAX_ADDRESSES = 64;

/**
 * Serves callers, control calls, readiness checks and address queries. On a box
 * with a disk it also hosts a replica of the configuration (the core group).
 */
export class EntryBox {
  readonly #components: boxComponents.BoxComponents;
  readonly #listeners: entryListeners.EntryListeners;
  readonly #controlHandler: controlHandlers.ControlHandler;
  readonly #core: replicaGroups.ReplicaGroup | undefined;
  readonly #usageRecorder: usages.UsageRecorder | undefined;

  constructor(components: boxComponents.BoxComponents) {
    this.#components = components;
    createBootstrapService(components);
    const core = boxComponents.createLeaderCaller(
      components,
      boxComponents.isCoreBox,
    );
    const stores = boxComponents.createLeaderCaller(
      components,
      boxComponents.isStoreBox,
    );
    this.#controlHandler = new controlHandlers.ControlHandler({
      ...components,
      core,
      stores,
    });
    this.#usageRecorder = createUsageRecorder(components, stores);
    const callerHandler = new callerHandlers.CallerHandler({
      ...components,
      stores,
      usage: this.#usageRecorder,
      failureDomain: components.settings.box.failureDomain,
    });
    this.#listeners = new entryListeners.EntryListeners(components, {
      caller: (request, response) => callerHandler.serve(request, response),
      control: (request, response) => this.#serveControl(request, response),
      ready: (_request, response) => this.#serveReadiness(response),
      directory: (request, response) => this.#serveAddresses(request, response),
    });
    this.#core = this.#createCore();
  }

  /** Starts the listeners; refuses callers until a configuration is in force. */
  async start(): Promise<void> {
    await this.#listeners.listen(this.#components.settings.listen);
    this.#usageRecorder?.start();
  }

  /** Starts the core replica, if any, and waits for the group's bootstrap. */
  async join(): Promise<void> {
    await this.#core?.start();
  }

  /** Returns the term in which this box leads the core, or 0. */
  getLeadTerm(): number {
    return this.#core?.getLeadTerm() ?? 0;
  }

  /** Returns the number of caller requests in flight. */
  getInFlight(): number {
    return this.#listeners.getInFlightCallers();
  }

  /** Returns the number of requests in flight at all listeners. */
  countExchanges(): number {
    return this.#listeners.listExchanges().length;
  }

  /** Applies the limits on connections of the configuration in force. */
  applyLimits(): void {
    const limits = this.#components.configuration.get()?.limits;
    if (limits !== undefined) this.#listeners.applyLimits(limits);
  }

  /** Closes connections after their next answer; transfers the leadership. */
  async setDraining(): Promise<void> {
    this.#listeners.startDraining();
    await this.#core?.resign();
  }

  /** Accepts no more connections and closes the idle ones. */
  closeListeners(): void {
    this.#listeners.close(false);
  }

  /** Answers all requests in flight that have no answer so far. */
  endExchanges(): void {
    endExchanges.endExchanges(
      this.#listeners.listExchanges(),
      this.#components,
    );
  }

  /** Logs the requests whose answers are not sent whole. */
  recordCutExchanges(): void {
    endExchanges.recordCutExchanges(
      this.#listeners.listExchanges(),
      this.#components,
    );
  }

  /** Closes all listeners and connections, then stops the core replica. */
  async stop(): Promise<void> {
    this.#listeners.close(true);
    this.#usageRecorder?.stop();
    await this.#core?.stop();
  }

  #createCore(): replicaGroups.ReplicaGroup | undefined {
    const { settings, server } = this.#components;
    if (settings.dataFolder === undefined) return undefined;
    const stateMachine = this.#createStateMachine();
    const group = new replicaGroups.ReplicaGroup({
      ...this.#components,
      name: "core",
      id: settings.box.address,
      failureDomain: settings.box.failureDomain,
      dataFolder: settings.dataFolder,
      isFirstStart: settings.isFirstStart,
      maxVoters: MAX_CORE_VOTERS,
      minVoters: 2 * settings.lossesToBear + 1,
      snapshotEntries: CORE_SNAPSHOT_ENTRIES,
      seeds: settings.seeds.map((seed) => seed.address),
      stateMachine,
      canVote: boxComponents.isCoreBox,
      listRetiring: () => [],
    });
    new trafficConfig.ConfigurationService({
      server,
      group,
      machine: stateMachine,
    });
    return group;
  }

  /** Puts only the last of several configurations of one batch in force. */
  #createStateMachine(): trafficConfig.ConfigurationMachine {
    const { clock, configuration, link } = this.#components;
    const deferredUpdate = new clocks.CoalescedCall({
      clock,
      delayMs: 0,
      action: () => {
        const stored = stateMachine.getStored();
        if (stored === undefined || !configuration.update(stored, "log")) {
          return;
        }
        link.publishConfiguration();
      },
    });
    const stateMachine = new trafficConfig.ConfigurationMachine(() =>
      deferredUpdate.schedule()
    );
    return stateMachine;
  }

  async #serveControl(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await httpServer.readBody({ request, response }, {
      maxBodyBytes: MAX_CONTROL_BODY_BYTES,
      receiveTimeoutMs: CONTROL_BODY_TIMEOUT_MS,
    });
    this.#components.crowds.recordBody("control", body);
    const raw = rawListeners.toRawRequest(request);
    const answer = body.kind === "ok"
      ? await this.#controlHandler.answer(raw, body.value)
      : this.#components.dialect.formatFailure(body.failure);
    rawListeners.writeAnswer(response, answer);
  }

  #serveReadiness(response: http.ServerResponse): Promise<void> {
    const { dialect, status } = this.#components;
    rawListeners.writeAnswer(
      response,
      status.isReady && !status.isLeaving
        ? dialect.formatDone()
        : this.#refuse("noLease", "Not ready"),
    );
    return Promise.resolve();
  }

  #refuse(code: results.ResultCodeName, message: string): dialects.RawAnswer {
    return formatRefusals.formatRefusal(
      this.#components.dialect,
      code,
      message,
    );
  }

  #serveAddresses(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { dialect, settings } = this.#components;
    const raw = rawListeners.toRawRequest(request);
    const query = dialect.parseAddressQuery(raw);
    const addresses = query === undefined
      ? []
      : this.#listAddresses(query.failureDomain);
    const lifetimeMs = addressLifetimes.getAddressLifetimeMs(
      settings.bounds.addressesKeepMs,
    );
    rawListeners.writeAnswer(
      response,
      addresses.length === 0
        ? this.#refuse("noLease", "Cannot answer: no box is ready")
        : dialect.formatAddresses(addresses, lifetimeMs),
    );
    return Promise.resolve();
  }

  #listAddresses(failureDomain: string): readonly string[] {
    const { directory } = this.#components;
    return chooseEntryBoxes.chooseEntryBoxes({
      alive: directory.listAlive(),
      failureDomain,
      getSilenceMs: (id) => directory.getSilenceMs(id),
    }).slice(0, MAX_ADDRESSES).flatMap((box) => box.callerAddress ?? []);
  }
}

/** Creates this box's part in founding replica groups, in case it is a seed. */
function createBootstrapService(
  components: boxComponents.BoxComponents,
): replicaGroups.BootstrapService {
  const { settings } = components;
  const member = replicaGroups.createFoundingMember({
    ...components,
    id: settings.box.address,
    seeds: settings.seeds.map((seed) => seed.address),
  });
  return new replicaGroups.BootstrapService({
    ...components,
    isFirstStart: settings.isFirstStart,
    ...(member === undefined ? {} : { member }),
  });
}

/** Creates the usage recorder if usage reporting is enabled. */
function createUsageRecorder(
  components: boxComponents.BoxComponents,
  stores: replicaGroups.LeaderCaller,
): usages.UsageRecorder | undefined {
  const { clock, settings, directory } = components;
  const times = dutySettings.getUsageTimings(settings);
  if (times === undefined) return undefined;
  return new usages.UsageRecorder({
    clock,
    stores,
    times,
    source: `${settings.box.address} ${clock.getWallMs()}`,
    describeLeader: () => {
      const leader = boxComponents.findLeader(
        directory.listAll().filter(boxComponents.isStoreBox),
      );
      return `${leader?.id} ${leader?.ledTerm}`;
    },
  });
}
