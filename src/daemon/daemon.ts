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

const DRAIN_CHECK_INTERVAL_MS = 50;

/** Why a daemon ended: by a stop, or by an error. */
export type DaemonEnd =
  | { readonly kind: "stopped" }
  | { readonly kind: "failed"; readonly error: unknown };

/** The components that only run on boxes with a replica. */
interface ControlComponents {
  readonly service: control.ControlService;
  readonly duties: control.LeaderDuties;
}

/** Creates, starts and stops all components of a box. */
export class Daemon {
  readonly #settings: settings.Settings;
  readonly #clock = new clocks.SystemClock();
  readonly #log: logs.Log;
  readonly #metrics: metrics.Metrics;
  readonly #rpcServer = new rpc.RpcServer();
  readonly #client: control.ControlClient;
  readonly #serverTable: routing.ServerTable;
  readonly #trainerService: trainers.TrainerService;
  readonly #callerListener: callers.CallerListener;
  readonly #operatorListener: operators.OperatorListener;
  readonly #control: ControlComponents | undefined;
  readonly #onEnd: (end: DaemonEnd) => void;
  #isStopping = false;

  /**
   * @param boxSettings The box's validated settings.
   * @param onEnd Called when the daemon has stopped or failed.
   */
  constructor(
    boxSettings: settings.Settings,
    onEnd: (end: DaemonEnd) => void,
  ) {
    this.#settings = boxSettings;
    this.#onEnd = onEnd;
    this.#log = new logs.Log(boxSettings.box.id, boxSettings.log.level);
    this.#metrics = new metrics.Metrics(boxSettings.metrics);
    const shared = {
      settings: boxSettings,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    };
    this.#client = new control.ControlClient(shared);
    this.#serverTable = this.#createServerTable();
    const components = {
      ...shared,
      client: this.#client,
      table: this.#serverTable,
    };
    this.#trainerService = new trainers.TrainerService({
      ...components,
      scorer: new scorers.ScorerClient({
        ...boxSettings.scorer,
        clock: this.#clock,
      }),
      connectTimeoutMs: boxSettings.limits.connectTimeoutMs,
    }, this.#rpcServer);
    const retryBudget = new callers.RetryBudget(
      boxSettings.limits.retryBudgetRatio,
    );
    this.#callerListener = new callers.CallerListener(
      { ...components, budget: retryBudget },
      this.#trainerService,
    );
    this.#operatorListener = new operators.OperatorListener({
      ...components,
      service: new operators.OperatorService(this.#client, this.#clock),
      onDrain: () => this.drain(),
    });
    this.#control = this.#createControl();
  }

  /** Starts all components; the box serves requests once it holds a lease. */
  async start(): Promise<void> {
    const { box, listen } = this.#settings;
    await this.#control?.service.start();
    await this.#rpcServer.listen(box.address, listen.peerPort);
    this.#control?.duties.start();
    this.#client.start();
    this.#serverTable.start();
    await this.#callerListener.start();
    await this.#operatorListener.start();
    this.#log.write("info", "daemon.started", {
      address: box.address,
      hasState: this.#control !== undefined,
    });
  }

  /**
   * Starts the planned stop. The box is no longer listed in address answers,
   * serves until all cached address answers that list it have expired and its
   * own requests have ended, and then stops.
   */
  drain(): void {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#log.write("info", "drain.began", {
      inFlight: this.#callerListener.getInFlight(),
    });
    this.#client.setDraining();
    this.#callerListener.setDraining();
    this.#runDrain().catch((error: unknown) =>
      this.#end({ kind: "failed", error })
    );
  }

  /** Stops immediately and aborts requests in flight. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#stopComponents();
    this.#end({ kind: "stopped" });
  }

  #createServerTable(): routing.ServerTable {
    const { box, engines } = this.#settings;
    return new routing.ServerTable({
      clock: this.#clock,
      client: this.#client,
      pollMs: engines.statusPollMs,
      seed: Buffer.from(box.id).reduce((sum, byte) => (sum * 31 + byte) | 0, 7),
    });
  }

  #createControl(): ControlComponents | undefined {
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
    await this.#awaitDrainingListed();
    await clocks.sleep(this.#clock, lease.leaseMs + addresses.keepMs);
    this.#trainerService.stop();
    this.#callerListener.close(false);
    while (this.#callerListener.getInFlight() > 0) {
      await clocks.sleep(this.#clock, DRAIN_CHECK_INTERVAL_MS);
    }
    // Nothing is in flight; a request that is read from now on would be cut.
    this.#callerListener.close(true);
    await this.#control?.service.resign();
    this.#log.write("info", "drain.ended");
    await this.#stopComponents();
    this.#end({ kind: "stopped" });
  }

  /**
   * Waits until the membership marks this box as draining or no longer lists
   * it, or the box has lost its lease.
   */
  async #awaitDrainingListed(): Promise<void> {
    const { id } = this.#settings.box;
    while (this.#client.hasLease()) {
      const own = this.#client.getView().membership.boxes.find((box) =>
        box.id === id
      );
      if (own === undefined || own.isDraining) return;
      await this.#client.waitForChange(DRAIN_CHECK_INTERVAL_MS);
    }
  }

  async #stopComponents(): Promise<void> {
    this.#callerListener.close(true);
    this.#trainerService.stop();
    this.#operatorListener.close();
    this.#serverTable.stop();
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
