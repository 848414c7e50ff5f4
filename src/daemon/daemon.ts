import * as callers from "../caller/mod.ts";
import * as clocks from "../clock/mod.ts";
import * as control from "../control/mod.ts";
import * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as operators from "../operator/mod.ts";
import * as routing from "../routing/mod.ts";
import * as rpc from "../rpc/mod.ts";
import * as scorers from "../scorer/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as trainers from "../trainer/mod.ts";

const DRAIN_CHECK_MS = 50;

/** How a daemon ended. */
export type DaemonEnd =
  | { readonly kind: "stopped" }
  | { readonly kind: "failed"; readonly error: unknown };

/** The parts of a box that hold state. */
interface ControlParts {
  readonly service: control.ControlService;
  readonly duties: control.LeaderDuties;
}

/** All that one box runs. */
export class Daemon {
  readonly #settings: settings.Settings;
  readonly #clock = new clocks.SystemClock();
  readonly #log: logs.Log;
  readonly #metrics: metrics.Metrics;
  readonly #rpcServer = new rpc.RpcServer();
  readonly #client: control.ControlClient;
  readonly #table: routing.ServerTable;
  readonly #trainers: trainers.TrainerService;
  readonly #callers: callers.CallerListener;
  readonly #operators: operators.OperatorListener;
  readonly #control: ControlParts | undefined;
  readonly #onEnd: (end: DaemonEnd) => void;
  #isStopping = false;

  /** @param onEnd Told once, when the daemon has ended. */
  constructor(
    checked: settings.Settings,
    onEnd: (end: DaemonEnd) => void,
  ) {
    this.#settings = checked;
    this.#onEnd = onEnd;
    this.#log = new logs.Log(checked.box.id, checked.log.level);
    this.#metrics = new metrics.Metrics(checked.metrics);
    const shared = {
      settings: checked,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    };
    this.#client = new control.ControlClient(shared);
    this.#table = this.#createTable();
    const parts = { ...shared, client: this.#client, table: this.#table };
    this.#trainers = new trainers.TrainerService({
      ...parts,
      scorer: new scorers.ScorerClient({
        ...checked.scorer,
        clock: this.#clock,
      }),
      connectTimeoutMs: checked.limits.connectTimeoutMs,
    }, this.#rpcServer);
    const budget = new callers.RetryBudget(checked.limits.retryBudgetRatio);
    this.#callers = new callers.CallerListener(
      { ...parts, budget },
      this.#trainers,
    );
    this.#operators = new operators.OperatorListener({
      ...parts,
      service: new operators.OperatorService(this.#client, this.#clock),
      onDrain: () => this.drain(),
    });
    this.#control = this.#createControl();
  }

  /** Starts all parts; the box serves once it holds a lease. */
  async start(): Promise<void> {
    const { box, listen } = this.#settings;
    await this.#control?.service.start();
    await this.#rpcServer.listen(box.address, listen.peerPort);
    this.#control?.duties.start();
    this.#client.start();
    this.#table.start();
    await this.#callers.start();
    await this.#operators.start();
    this.#log.write("info", "daemon.started", {
      address: box.address,
      hasState: this.#control !== undefined,
    });
  }

  /**
   * Begins the planned stop: the box leaves the address answers, serves until
   * every answer that names it has expired and its requests have ended, then
   * stops.
   */
  drain(): void {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#log.write("info", "drain.began", {
      inFlight: this.#callers.getInFlight(),
    });
    this.#client.setDraining();
    this.#callers.setDraining();
    this.#runDrain().catch((error: unknown) =>
      this.#end({ kind: "failed", error })
    );
  }

  /** Stops at once, cutting what is under way. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#stopParts(true);
    this.#end({ kind: "stopped" });
  }

  #createTable(): routing.ServerTable {
    const { box, engines } = this.#settings;
    return new routing.ServerTable({
      clock: this.#clock,
      client: this.#client,
      pollMs: engines.statusPollMs,
      seed: Buffer.from(box.id).reduce((sum, byte) => (sum * 31 + byte) | 0, 7),
    });
  }

  #createControl(): ControlParts | undefined {
    const { control: controlSettings } = this.#settings;
    if (controlSettings === undefined) return undefined;
    const options = {
      settings: this.#settings,
      control: controlSettings,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    };
    const service = new control.ControlService({
      ...options,
      server: this.#rpcServer,
      onFatal: (error) => this.#end({ kind: "failed", error }),
    });
    const duties = new control.LeaderDuties({ ...options, service });
    return { service, duties };
  }

  async #runDrain(): Promise<void> {
    const { lease, addresses } = this.#settings;
    await this.#awaitLeft();
    await clocks.sleep(this.#clock, lease.leaseMs + addresses.keepMs);
    this.#trainers.stop();
    while (this.#callers.getInFlight() > 0) {
      await clocks.sleep(this.#clock, DRAIN_CHECK_MS);
    }
    await this.#control?.service.resign();
    this.#log.write("info", "drain.ended");
    await this.#stopParts(false);
    this.#end({ kind: "stopped" });
  }

  /** Waits until the leader lists this box as draining, or no more at all. */
  async #awaitLeft(): Promise<void> {
    const { id } = this.#settings.box;
    while (this.#client.hasLease()) {
      const own = this.#client.getView().membership.boxes.find((box) =>
        box.id === id
      );
      if (own === undefined || own.isDraining) return;
      await this.#client.waitForChange(DRAIN_CHECK_MS);
    }
  }

  async #stopParts(force: boolean): Promise<void> {
    this.#callers.close(force);
    this.#trainers.stop();
    this.#operators.close();
    this.#table.stop();
    this.#client.stop();
    this.#control?.duties.stop();
    await this.#control?.service.stop();
    this.#rpcServer.close();
    this.#metrics.close();
  }

  #end(end: DaemonEnd): void {
    if (end.kind === "failed") {
      this.#log.write("error", "daemon.failed", { message: String(end.error) });
    }
    this.#onEnd(end);
  }
}
