import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as httpServer from "../http_server/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxComponents from "./box_components.ts";
import type * as crowdRecorders from "./_crowd_recorder.ts";
import * as rawListeners from "./_raw_listener.ts";

/** Handlers of the requests at each listener of an entry box. */
export type EntryHandlers = Readonly<
  Record<crowdRecorders.ListenerName, httpServer.HttpHandler>
>;

/** Dependencies of `EntryListeners`. */
export type EntryListenersOptions = Pick<
  boxComponents.BoxComponents,
  "log" | "crowds" | "limits"
>;

/** The HTTP listeners of an entry box, with their limits. */
export class EntryListeners {
  readonly #options: EntryListenersOptions;
  readonly #caller: httpServer.HttpListener;
  readonly #control: httpServer.HttpListener;
  readonly #ready: httpServer.HttpListener;
  readonly #directory: httpServer.HttpListener;

  constructor(options: EntryListenersOptions, handlers: EntryHandlers) {
    this.#options = options;
    this.#caller = this.#create("caller", handlers);
    this.#control = this.#create("control", handlers);
    this.#ready = this.#create("ready", handlers);
    this.#directory = this.#create("directory", handlers);
  }

  /** Listens at the endpoints that the settings give; callers come last. */
  async listen(listen: fleetSettings.FleetSettings["listen"]): Promise<void> {
    await listenAt(this.#control, listen.control);
    await listenAt(this.#ready, listen.ready);
    await listenAt(this.#directory, listen.directory);
    await listenAt(this.#caller, listen.caller);
  }

  /** Returns the number of caller requests in flight. */
  getInFlightCallers(): number {
    return this.#caller.getInFlightCount();
  }

  /** Lists the requests in flight at all listeners. */
  listExchanges(): readonly httpServer.Exchange[] {
    return this.#listAll().flatMap((listener) => listener.listExchanges());
  }

  /** Applies the limits of a configuration to the connections of callers. */
  applyLimits(limits: trafficConfig.Configuration["limits"]): void {
    this.#caller.setConnectionSettings({
      headersMs: limits.headerTimeoutMs,
      idleMs: limits.idleTimeoutMs,
      headerBytes: limits.headerBytes,
    });
  }

  /** Makes each connection close after its next answer. */
  startDraining(): void {
    for (const listener of this.#listAll()) listener.startDraining();
  }

  /** Accepts no more connections and closes the idle ones; `force` closes all. */
  close(force: boolean): void {
    for (const listener of this.#listAll()) listener.close(force);
  }

  #listAll(): readonly httpServer.HttpListener[] {
    return [this.#caller, this.#control, this.#ready, this.#directory];
  }

  #create(
    name: crowdRecorders.ListenerName,
    handlers: EntryHandlers,
  ): httpServer.HttpListener {
    const { log, crowds, limits } = this.#options;
    return rawListeners.createRawListener(handlers[name], {
      name,
      maxConnections: limits.connections[name],
      log,
      crowds,
    });
  }
}

/** Starts a listener if the settings give it an endpoint. */
async function listenAt(
  listener: httpServer.HttpListener,
  endpoint: fleetSettings.Endpoint | undefined,
): Promise<void> {
  if (endpoint === undefined) return;
  await listener.listen(endpoint.address, endpoint.port);
}
