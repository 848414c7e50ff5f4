import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as duties from "../duty/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as assignEngines from "./assign_engines.ts";
import * as assignParities from "./assign_parities.ts";
import * as listDueLoads from "./list_due_loads.ts";
import * as listReadyEngines from "./list_ready_engines.ts";
import * as loadTrackers from "./load_tracker.ts";
import * as orderClients from "./order_client.ts";

/** Interval between checks for due loads, in ms. */
const CHECK_INTERVAL_MS = 40;
/** Share of the engines that may load at once; more slow each other down. */
const MAX_LOADING_FRACTION = 0.3;
/** Interval between reads of an engine whose load should have ended, in ms. */
const POLL_INTERVAL_MS = 60;
/** Time after which an order whose load has not ended is abandoned, in ms. */
const LOAD_TIMEOUT_MS = 4_000;
/** Delay before the next order to an engine that refused one, in ms. */
const RETRY_DELAY_MS = 500;

/** Options of a weight order scheduler. */
export interface WeightOrderSchedulerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly servers: registry.ServerRegistry;
  /** Lease that permits this box to send orders. */
  readonly duty: duties.DutyLease;
  readonly machine: submissions.SubmissionStateMachine;
  readonly engines: dispatch.EngineTable;
  readonly refusedReports: Pick<registry.RefusalRecorder, "record">;
  readonly isService: listReadyEngines.IsConfiguredService;
  /** Called before an engine is ordered to load a model. */
  readonly onLoading: (
    engine: registry.RegisteredServer,
    model: string,
  ) => void;
  /** Called when a load has ended, has failed or was not ordered after all. */
  readonly onLoaded: () => void;
}

/**
 * Assigns models to engines and orders engines to load the newest named
 * versions. Sends orders only while this box holds the duty lease.
 */
export class WeightOrderScheduler {
  readonly #options: WeightOrderSchedulerOptions;
  /** Lifetimes of engines for which a load is in progress. */
  readonly #busyEngines = new Set<registry.LifetimeKey>();
  readonly #loads: loadTrackers.LoadTracker;
  /** Number of orders that each engine process had accepted when last read. */
  readonly #orderCounts = new Map<registry.LifetimeKey, number>();
  /** Keyed by id rather than lifetime, so that a restart keeps the models. */
  #engineModels: assignEngines.EngineModels = new Map();
  #parities: assignParities.EngineParities = new Map();
  #maxConcurrentLoads = 1;
  #isStopped = false;

  constructor(options: WeightOrderSchedulerOptions) {
    this.#options = options;
    this.#loads = new loadTrackers.LoadTracker(options.clock);
  }

  start(): void {
    if (this.#isStopped) return;
    this.#scheduleLoads();
    this.#options.clock.startTimer(CHECK_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #canOrder(): boolean {
    return !this.#isStopped && this.#options.duty.canAct();
  }

  #scheduleLoads(): void {
    if (!this.#canOrder()) return;
    const engines = this.#listEngines();
    const lags = new Map(
      listModels(engines).map((model) =>
        [model, this.#getVersionLag(model)] as const
      ),
    );
    this.#assignModels(engines, lags);
    this.#maxConcurrentLoads = Math.max(
      1,
      Math.round(engines.length * MAX_LOADING_FRACTION),
    );
    const due = listDueLoads.listDueLoads({
      engines,
      parities: this.#parities,
      versions: this.#options.machine.getVersions(),
      lags,
      getVersion: (engine, model) =>
        this.#options.engines.getVersion(engine, model),
    });
    for (const load of due) {
      if (this.#loads.countRunning() >= this.#maxConcurrentLoads) return;
      if (!this.#busyEngines.has(load.engine.lifetime)) {
        void this.#runLoad(load);
      }
    }
  }

  /** Updates the models and parities of engines for the permitted lags. */
  #assignModels(
    engines: readonly registry.RegisteredServer[],
    lags: ReadonlyMap<string, number>,
  ): void {
    const engineCounts = new Map(
      [...lags].map(([model, lag]) => [
        model,
        assignEngines.countDesiredEngines(engines.length, lags.size, lag),
      ]),
    );
    this.#engineModels = assignEngines.assignEngines({
      engines: engines.map((engine) => engine.id),
      engineCounts,
      previous: this.#engineModels,
    });
    const byId = new Map(engines.map((engine) => [engine.id, engine]));
    this.#parities = assignParities.assignParities({
      models: [...lags.keys()],
      engineModels: this.#engineModels,
      previous: this.#parities,
      getVersion: (id, model) => {
        const engine = byId.get(id);
        if (engine === undefined) return 0;
        return this.#options.engines.getVersion(engine, model);
      },
    });
  }

  /** Lists the ready engines, those with the fewest active runs first. */
  #listEngines(): readonly registry.RegisteredServer[] {
    const { servers, engines, isService } = this.#options;
    return listReadyEngines.listReadyEngines(servers, isService)
      .toSorted((a, b) =>
        engines.getRunCount(a.lifetime) - engines.getRunCount(b.lifetime)
      );
  }

  /**
   * Version lag that the newest submission of a model permits; 0 without one.
   */
  #getVersionLag(model: string): number {
    const record = this.#options.machine.listAll().findLast((other) =>
      other.submission.model === model
    );
    if (record === undefined) return 0;
    return record.namedVersion - record.submission.minimumVersion;
  }

  async #runLoad(load: listDueLoads.DueLoad): Promise<void> {
    const { engine } = load;
    this.#busyEngines.add(engine.lifetime);
    let isObserved = false;
    try {
      isObserved = await this.#orderLoad(load);
    } finally {
      this.#loads.end(engine.lifetime, isObserved);
      this.#busyEngines.delete(engine.lifetime);
      this.#options.engines.setLoadingModel(engine.lifetime, undefined);
      this.#options.onLoaded();
    }
  }

  /**
   * Orders a load and waits for its end.
   *
   * @returns Whether the order was accepted and the end of the load observed.
   */
  async #orderLoad(load: listDueLoads.DueLoad): Promise<boolean> {
    const { clock, dialect, engines, duty, log, metrics } = this.#options;
    const { engine, model, version } = load;
    if (
      !this.#orderCounts.has(engine.lifetime) &&
      !await this.#refreshReport(load)
    ) {
      await clocks.sleep(clock, RETRY_DELAY_MS);
      return false;
    }
    if (engines.getVersion(engine, model) >= version) return false;
    if (
      !this.#canOrder() ||
      this.#loads.countRunning() >= this.#maxConcurrentLoads
    ) return false;
    this.#loads.begin(engine.lifetime);
    engines.setLoadingModel(engine.lifetime, model);
    this.#options.onLoading(engine, model);
    const order: dialects.VersionOrder = {
      model,
      version,
      holder: duty.getName(),
      fence: duty.getFence(),
      waitsForRuns: this.#hasSingleVersionSubmission(model),
      expectedOrderCount: this.#orderCounts.get(engine.lifetime),
    };
    const outcome = await orderClients.sendOrder(engine, order, dialect);
    metrics.countOrder(outcome.kind);
    log.write("info", "order.given", {
      server: engine.id,
      model,
      version,
      fence: order.fence,
      expectedOrders: order.expectedOrderCount,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
      status: "status" in outcome ? outcome.status : undefined,
    });
    switch (outcome.kind) {
      case "taken":
        await clocks.sleep(clock, this.#loads.getExpectedLoadMs());
        return await this.#awaitLoaded(load);
      case "held":
        engines.advanceVersion(engine.lifetime, model, version);
        return false;
      case "refused":
        this.#orderCounts.delete(engine.lifetime);
        if (outcome.isMisdirected) {
          this.#options.servers.markUnavailable(engine);
        }
        await clocks.sleep(clock, RETRY_DELAY_MS);
        return false;
      case "reborn":
        // Its report tells which versions the newer process holds.
        this.#orderCounts.delete(engine.lifetime);
        await this.#refreshReport(load);
        return false;
      case "unanswered":
        await this.#awaitLoaded(load);
        return false;
    }
  }

  /** Tells whether an open submission needs each text from a single version. */
  #hasSingleVersionSubmission(model: string): boolean {
    return this.#options.machine.listAll().some((record) =>
      !record.isEnded && record.submission.terms.isSingleVersion &&
      record.submission.model === model
    );
  }

  /**
   * Polls the engine until it holds the version; false on timeout or restart.
   */
  async #awaitLoaded(load: listDueLoads.DueLoad): Promise<boolean> {
    const { clock, engines, servers } = this.#options;
    const endMs = clock.getMonotonicMs() + LOAD_TIMEOUT_MS;
    while (clock.getMonotonicMs() < endMs && !this.#isStopped) {
      const current = servers.get(load.engine.id);
      const isReplaced = current?.lifetime !== load.engine.lifetime;
      if (isReplaced || current?.phase !== "ready") return false;
      await this.#refreshReport(load);
      const held = engines.getVersion(load.engine, load.model);
      if (held >= load.version) return true;
      await clocks.sleep(clock, POLL_INTERVAL_MS);
    }
    this.#orderCounts.delete(load.engine.lifetime);
    return false;
  }

  /**
   * Updates the known versions from the engine's report; false if unreadable.
   */
  async #refreshReport(load: listDueLoads.DueLoad): Promise<boolean> {
    const { engines } = this.#options;
    const { engine } = load;
    const reading = await orderClients.readReport(
      engine,
      this.#options.dialect,
    );
    if (reading.kind !== "ok") {
      this.#handleReadFailure(engine, reading);
      return false;
    }
    this.#orderCounts.set(engine.lifetime, reading.value.orders);
    if (reading.value.isBusy) return true;
    for (const { name, version } of reading.value.models) {
      engines.advanceVersion(engine.lifetime, name, version);
    }
    return true;
  }

  /** Discards the order count, which may be outdated, and logs the failure. */
  #handleReadFailure(
    engine: registry.RegisteredServer,
    reading: Exclude<orderClients.EngineReading, { kind: "ok" }>,
  ): void {
    const { log, servers, refusedReports } = this.#options;
    this.#orderCounts.delete(engine.lifetime);
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
