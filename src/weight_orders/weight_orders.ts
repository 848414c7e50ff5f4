import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as duties from "../duty/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as assignEngines from "./assign_engines.ts";
import * as assignTurns from "./assign_turns.ts";
import * as listDueLoads from "./list_due_loads.ts";
import * as listEngines from "./list_engines.ts";
import * as loadLanes from "./load_lanes.ts";
import * as orderClients from "./order_client.ts";

const TICK_MS = 40;
/**
 * Share of the engines that load at once; more would slow each other down
 * (measured: two of six and two of eight load at full speed).
 */
const LOADING_SHARE = 0.3;
/** Between two looks at an engine whose load should have ended, in ms. */
const REPORT_MS = 60;
/** Time after which an order without effect is given up, in ms. */
const ORDER_PATIENCE_MS = 4_000;
/** Pause before an engine that refused is asked again, in ms. */
const REFUSED_MS = 500;

/** What the weight orders need. */
export interface WeightOrdersOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly servers: registry.ServerRegistry;
  /** Says whether this box is the one that orders. */
  readonly duty: duties.DutyHolder;
  readonly machine: submissions.SubmissionMachine;
  readonly engines: dispatch.EngineTable;
  readonly refusedReports: Pick<registry.RefusalRecorder, "record">;
  readonly isService: listEngines.IsService;
  /** Told when an engine begins to load a model. */
  readonly onLoading: (
    engine: registry.RegisteredServer,
    model: string,
  ) => void;
  /** Told when an engine has ended a load. */
  readonly onLoaded: () => void;
}

/** Moves engines to the newest named versions, one box at a time. */
export class WeightOrders {
  readonly #options: WeightOrdersOptions;
  /** Starts of engines that are being read or ordered. */
  readonly #busy = new Set<registry.LifetimeKey>();
  readonly #lanes: loadLanes.LoadLanes;
  /** Orders that each start of an engine has taken, as last read from it. */
  readonly #orders = new Map<registry.LifetimeKey, number>();
  /** By id alone: an engine that starts again keeps its models. */
  #homes: assignEngines.EngineHomes = new Map();
  #turns: assignTurns.EngineTurns = new Map();
  /** Loads that may run at once. */
  #most = 1;
  #isStopped = false;

  constructor(options: WeightOrdersOptions) {
    this.#options = options;
    this.#lanes = new loadLanes.LoadLanes(options.clock);
  }

  start(): void {
    if (this.#isStopped) return;
    this.#checkEngines();
    this.#options.clock.startTimer(TICK_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #canOrder(): boolean {
    return !this.#isStopped && this.#options.duty.canAct();
  }

  #checkEngines(): void {
    if (!this.#canOrder()) return;
    const engines = this.#listEngines();
    const lags = new Map(
      listModels(engines).map((model) => [model, this.#getLag(model)] as const),
    );
    this.#assign(engines, lags);
    this.#most = Math.max(1, Math.round(engines.length * LOADING_SHARE));
    const due = listDueLoads.listDueLoads({
      engines,
      turns: this.#turns,
      versions: this.#options.machine.getVersions(),
      lags,
      getVersion: (engine, model) =>
        this.#options.engines.getVersion(engine, model),
    });
    for (const load of due) {
      if (this.#lanes.count() >= this.#most) return;
      if (!this.#busy.has(load.engine.lifetime)) void this.#runLoad(load);
    }
  }

  /** Assigns the engines to the models, by how far steps of each may lag. */
  #assign(
    engines: readonly registry.RegisteredServer[],
    lags: ReadonlyMap<string, number>,
  ): void {
    const wanted = new Map(
      [...lags].map(([model, lag]) => [
        model,
        assignEngines.countWantedEngines(engines.length, lags.size, lag),
      ]),
    );
    this.#homes = assignEngines.assignEngines({
      engines: engines.map((engine) => engine.id),
      wanted,
      before: this.#homes,
    });
    const byId = new Map(engines.map((engine) => [engine.id, engine]));
    this.#turns = assignTurns.assignTurns({
      models: [...lags.keys()],
      homes: this.#homes,
      before: this.#turns,
      getVersion: (id, model) => {
        const engine = byId.get(id);
        if (engine === undefined) return 0;
        return this.#options.engines.getVersion(engine, model);
      },
    });
  }

  /** Engines, those with the fewest runs first. */
  #listEngines(): readonly registry.RegisteredServer[] {
    const { servers, engines, isService } = this.#options;
    return listEngines.listEngines(servers, isService)
      .toSorted((a, b) =>
        engines.getRunning(a.lifetime) - engines.getRunning(b.lifetime)
      );
  }

  /** Versions that the newest submission of a model allowed to lag. */
  #getLag(model: string): number {
    const record = this.#options.machine.listAll().findLast((other) =>
      other.submission.model === model
    );
    if (record === undefined) return 0;
    return record.namedVersion - record.submission.minimumVersion;
  }

  async #runLoad(load: listDueLoads.DueLoad): Promise<void> {
    const { engine } = load;
    this.#busy.add(engine.lifetime);
    let isSeen = false;
    try {
      isSeen = await this.#load(load);
    } finally {
      this.#lanes.end(engine.lifetime, isSeen);
      this.#busy.delete(engine.lifetime);
      this.#options.engines.setLoading(engine.lifetime, undefined);
      this.#options.onLoaded();
    }
  }

  /** @returns Whether the load was seen from its order to its end. */
  async #load(load: listDueLoads.DueLoad): Promise<boolean> {
    const { clock, dialect, engines, duty, log, metrics } = this.#options;
    const { engine, model, version } = load;
    if (!this.#orders.has(engine.lifetime) && !await this.#refresh(load)) {
      await clocks.sleep(clock, REFUSED_MS);
      return false;
    }
    if (engines.getVersion(engine, model) >= version) return false;
    if (!this.#canOrder() || this.#lanes.count() >= this.#most) return false;
    this.#lanes.begin(engine.lifetime);
    engines.setLoading(engine.lifetime, model);
    this.#options.onLoading(engine, model);
    const order: dialects.VersionOrder = {
      model,
      version,
      holder: duty.getName(),
      fence: duty.getFence(),
      letsRunsEnd: this.#hasSingleVersion(model),
      expectedOrders: this.#orders.get(engine.lifetime),
    };
    const outcome = await orderClients.sendOrder(engine, order, dialect);
    metrics.countOrder(outcome.kind);
    log.write("info", "order.given", {
      server: engine.id,
      model,
      version,
      fence: order.fence,
      expectedOrders: order.expectedOrders,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
      status: "status" in outcome ? outcome.status : undefined,
    });
    switch (outcome.kind) {
      case "taken":
        await clocks.sleep(clock, this.#lanes.getLoadMs());
        return await this.#awaitLoaded(load);
      case "held":
        engines.prove(engine.lifetime, model, version);
        return false;
      case "refused":
        this.#orders.delete(engine.lifetime);
        if (outcome.isOther) this.#options.servers.markUnavailable(engine);
        await clocks.sleep(clock, REFUSED_MS);
        return false;
      case "reborn":
        // The later start tells what it holds by its report.
        this.#orders.delete(engine.lifetime);
        await this.#refresh(load);
        return false;
      case "unanswered":
        await this.#awaitLoaded(load);
        return false;
    }
  }

  /** Whether an open submission wants texts of one version. */
  #hasSingleVersion(model: string): boolean {
    return this.#options.machine.listAll().some((record) =>
      !record.isEnded && record.submission.terms.isSingleVersion &&
      record.submission.model === model
    );
  }

  /** Reads the engine's state until it holds the version or patience ends. */
  async #awaitLoaded(load: listDueLoads.DueLoad): Promise<boolean> {
    const { clock, engines, servers } = this.#options;
    const endMs = clock.getMonotonicMs() + ORDER_PATIENCE_MS;
    while (clock.getMonotonicMs() < endMs && !this.#isStopped) {
      const current = servers.get(load.engine.id);
      const isReplaced = current?.lifetime !== load.engine.lifetime;
      if (isReplaced || current?.phase !== "ready") return false;
      await this.#refresh(load);
      const held = engines.getVersion(load.engine, load.model);
      if (held >= load.version) return true;
      await clocks.sleep(clock, REPORT_MS);
    }
    this.#orders.delete(load.engine.lifetime);
    return false;
  }

  /** Reads what an engine holds; false when it could not be read. */
  async #refresh(load: listDueLoads.DueLoad): Promise<boolean> {
    const { engines } = this.#options;
    const { engine } = load;
    const reading = await orderClients.readReport(
      engine,
      this.#options.dialect,
    );
    if (reading.kind !== "ok") {
      this.#noteUnread(engine, reading);
      return false;
    }
    this.#orders.set(engine.lifetime, reading.value.orders);
    if (reading.value.isBusy) return true;
    for (const { name, version } of reading.value.models) {
      engines.prove(engine.lifetime, name, version);
    }
    return true;
  }

  /** What was known of its orders may not hold any more. */
  #noteUnread(
    engine: registry.RegisteredServer,
    reading: Exclude<orderClients.EngineReading, { kind: "ok" }>,
  ): void {
    const { log, servers, refusedReports } = this.#options;
    this.#orders.delete(engine.lifetime);
    switch (reading.kind) {
      case "reborn":
        log.write("info", "engine.reborn", {
          server: engine.id,
          former: engine.born,
          born: reading.server.born,
        });
        servers.merge(reading.server);
        return;
      case "refused":
        return refusedReports.record(reading.refusal);
      case "unread":
        log.write("info", "engine.unread", {
          server: engine.id,
          message: reading.message,
        });
        return;
    }
  }
}

function listModels(
  engines: readonly registry.RegisteredServer[],
): readonly string[] {
  const names = engines.flatMap((engine) =>
    engine.models.map((model) => model.name)
  );
  return [...new Set(names)].toSorted();
}
