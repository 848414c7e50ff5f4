import type * as backendServers from "../backend_server/mod.ts";
import * as boxList from "../box_list/mod.ts";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as engines from "../engine/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as weightRollouts from "../weight_rollout/mod.ts";
import * as weightStore from "../weight_store/mod.ts";
import type * as controlServices from "./control_service.ts";

const PROPOSE_TIMEOUT_MS = 2_000;
const ORDER_RETRY_DELAY_MS = 300;
const CLEANUP_INTERVAL_MS = 60_000;
/** Minimum remaining leader authority for sending an order, in ms. */
const MIN_AUTHORITY_MS = 50;

/** Options of the leader duties. */
export interface LeaderDutiesOptions {
  readonly settings: settings.Settings;
  readonly control: settings.ControlSettings;
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.Metrics;
  readonly service: controlServices.ControlService;
}

/** Maximum number of invalid box list entries that are logged. */
const MAX_LOGGED_FAULTS = 16;

/** State of the last order to an engine. */
interface OrderState {
  readonly isPending: boolean;
  /** Earliest monotonic time of the next order, in ms. */
  readonly notBeforeMs: number;
  /** Start time of the engine process that received the order. */
  readonly engineStart: number | undefined;
}

/**
 * Periodic tasks of the leader: reading the box list and the weight store,
 * ordering engines to load weights, and removing old claims and requests. Each
 * task runs only while the replica has leader authority.
 */
export class LeaderDuties {
  readonly #options: LeaderDutiesOptions;
  readonly #boxList: boxList.BoxListClient;
  readonly #weightStore: weightStore.WeightStoreClient;
  /** Last order by engine id. */
  #orders: ReadonlyMap<string, OrderState> = new Map();
  /** Last reported start time by engine id. */
  readonly #engineStarts = new Map<string, number | undefined>();
  /** Invalid entries in the last read of the box list. */
  #loggedFaults: ReadonlySet<string> = new Set();
  #isStopped = false;

  constructor(options: LeaderDutiesOptions) {
    this.#options = options;
    this.#boxList = new boxList.BoxListClient(options.settings.boxList.url);
    this.#weightStore = new weightStore.WeightStoreClient(
      options.settings.weightStore.url,
    );
  }

  /** Starts all duties; each runs only while this replica leads. */
  start(): void {
    const { settings: { boxList: list, weightStore: store } } = this.#options;
    this.#startDuty("boxList", list.pollMs, () => this.#readBoxList());
    this.#startDuty("weightStore", store.pollMs, () => this.#readWeightStore());
    this.#startDuty(
      "weightRollout",
      store.pollMs,
      () => this.#rollOutWeights(),
    );
    this.#startDuty(
      "forgetOld",
      CLEANUP_INTERVAL_MS,
      () => this.#removeExpired(),
    );
  }

  stop(): void {
    this.#isStopped = true;
  }

  #startDuty(
    name: string,
    intervalMs: number,
    runOnce: () => Promise<void>,
  ): void {
    const { clock, log, service } = this.#options;
    const isStopped = this.#hasStopped.bind(this);
    void csp.runProcess(
      function* () {
        while (!isStopped()) {
          if (service.getSession() !== undefined) yield* csp.waitFor(runOnce());
          yield* csp.waitFor(clocks.sleep(clock, intervalMs));
        }
      },
      (error) =>
        log.write("error", "duty.ended", { name, message: String(error) }),
    );
  }

  #hasStopped(): boolean {
    return this.#isStopped;
  }

  async #readBoxList(): Promise<void> {
    const read = await this.#boxList.readServers();
    if (read.kind === "failure") {
      this.#options.log.write("warn", "box_list.unread", {
        message: read.failure.message,
      });
      return;
    }
    this.#reportFaults(read.value.invalidEntries);
    this.#options.service.getSession()?.setServers(read.value.servers);
  }

  /** Logs each invalid entry once until it disappears from the list. */
  #reportFaults(unread: readonly boxList.InvalidEntry[]): void {
    const { log, metrics: sink } = this.#options;
    const faults = new Set<string>();
    for (const { id, field } of unread.slice(0, MAX_LOGGED_FAULTS)) {
      const fault = `${id} ${field}`;
      faults.add(fault);
      if (this.#loggedFaults.has(fault)) continue;
      sink.count("box_list.unread");
      log.write("warn", "box_list.entry_unread", { server: id, field });
    }
    this.#loggedFaults = faults;
  }

  async #readWeightStore(): Promise<void> {
    const read = await this.#weightStore.readLatest();
    if (read.kind === "failure") return;
    const known = this.#options.service.getState().models;
    for (const { model, weightVersion } of read.value) {
      if ((known.get(model)?.weightVersion ?? 0) >= weightVersion) continue;
      this.#options.log.write("info", "model.published", {
        model,
        weightVersion,
      });
      await this.#options.service.propose({
        kind: "publishModel",
        model,
        weightVersion,
      }, PROPOSE_TIMEOUT_MS);
    }
  }

  async #removeExpired(): Promise<void> {
    const { clock, control, service } = this.#options;
    const beforeMs = clock.getWallMs() - control.claimRetentionMs;
    await service.propose({ kind: "forgetOld", beforeMs }, PROPOSE_TIMEOUT_MS);
  }

  async #rollOutWeights(): Promise<void> {
    const { clock, service, settings: { engines: limits } } = this.#options;
    const servers = (service.getSession()?.getServers() ?? [])
      .filter((server) =>
        server.kind === "language" && server.state === "live"
      );
    const targets = [...service.getState().models.values()];
    if (servers.length === 0) return;
    const views = await Promise.all(
      servers.map((server) => this.#readEngineView(server)),
    );
    const orders = weightRollouts.planOrders(
      views.filter((view) => view !== undefined),
      targets,
      {
        maxSwapFraction: limits.maxSwapFraction,
        nowMs: clock.getMonotonicMs(),
      },
    );
    for (const order of orders) {
      const server = servers.find((candidate) =>
        candidate.id === order.engineId
      );
      if (server !== undefined) void this.#sendOrder(server, order);
    }
  }

  async #readEngineView(
    server: backendServers.BackendServer,
  ): Promise<weightRollouts.EngineView | undefined> {
    const report = await engines.readReport(server);
    if (report.kind === "failure") return undefined;
    const order = this.#findOrder(server.id, report.value.born);
    return {
      id: server.id,
      models: new Map(Object.entries(report.value.models)),
      isBusy: order?.isPending === true || report.value.isSwapping,
      role: report.value.role,
      wantedRole: this.#options.service.getState().roles.get(server.id)?.role ??
        "mixed",
      notBeforeMs: order?.notBeforeMs ?? 0,
    };
  }

  async #sendOrder(
    server: backendServers.BackendServer,
    order: weightRollouts.PlannedOrder,
  ): Promise<void> {
    const {
      clock,
      log,
      metrics: sink,
      service,
      settings: { engines: limits },
    } = this.#options;
    const session = service.getSession();
    const leftMs = service.getAuthorityUntilMs() - clock.getMonotonicMs();
    if (session === undefined || leftMs < MIN_AUTHORITY_MS) return;
    const engineStart = this.#engineStarts.get(server.id);
    this.#recordOrder(server.id, {
      isPending: true,
      notBeforeMs: 0,
      engineStart,
    });
    sink.count("order.sent");
    const done = await engines.sendOrder(server, {
      action: order.action,
      fence: session.term,
      deadlineMs: limits.orderTimeoutMs,
    });
    const isDone = done.kind === "ok";
    const notBeforeMs = isDone
      ? 0
      : clock.getMonotonicMs() + ORDER_RETRY_DELAY_MS;
    if (this.#engineStarts.get(server.id) === engineStart) {
      this.#recordOrder(server.id, {
        isPending: false,
        notBeforeMs,
        engineStart,
      });
    }
    log.write(isDone ? "info" : "warn", "order.ended", {
      engine: server.id,
      ...order.action,
      fence: session.term,
      isDone,
    });
  }

  /** Finds the last order to an engine; ignores orders to an earlier process. */
  #findOrder(
    id: string,
    engineStart: number | undefined,
  ): OrderState | undefined {
    this.#engineStarts.set(id, engineStart);
    const order = this.#orders.get(id);
    return order?.engineStart === engineStart ? order : undefined;
  }

  #recordOrder(id: string, order: OrderState): void {
    this.#orders = new Map([...this.#orders, [id, order] as const]);
  }
}
