import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as remoteRuns from "../remote_run/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as engineTables from "./engine_table.ts";
import * as filterByServices from "./filter_by_service.ts";
import * as itemCrashTrackers from "./item_crash_tracker.ts";
import * as itemFinishers from "./item_finisher.ts";
import * as itemStarters from "./item_starter.ts";
import type * as itemTasks from "./item_task.ts";
import * as lengthEstimators from "./length_estimator.ts";
import type * as phaseTimes from "./phase_times.ts";
import * as runMovers from "./run_mover.ts";
import * as taskTables from "./task_table.ts";
import * as textReplicators from "./text_replicator.ts";
import * as waitingOrders from "./waiting_order.ts";

/** Interval between updates of tasks and runs, in ms. */
const UPDATE_INTERVAL_MS = 50;
/** Time without an event after which a run is retried elsewhere, in ms. */
const STALL_TIMEOUT_MS = 800;
/** Stall timeout of runs started while their engine loads weights, in ms. */
const LOADING_STALL_TIMEOUT_MS = 4_000;
/**
 * Time without confirmed leadership after which this box cancels its runs, in
 * ms: longer than brief quorum outages of some hundred ms, as repeating hundreds
 * of runs costs seconds, and below the time within which the end of a submission
 * must take effect.
 */
const AUTHORITY_GRACE_MS = 2_000;

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly servers: registry.ServerRegistry;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly group: replicaGroups.ReplicaGroup;
  readonly machine: submissions.SubmissionStateMachine;
  readonly engines: engineTables.EngineTable;
  readonly forwarder: forwarding.Forwarder;
  readonly crashGuard: itemCrashTrackers.ItemCrashTrackerOptions["crashGuard"];
  /** Runs an item, here or at another box. */
  readonly runItem: (
    options: remoteRuns.SubmissionRun,
  ) => Promise<itemRuns.RunOutcome>;
  /** Returns a random number in [0, 1). */
  readonly draw: () => number;
}

/** Runs the items of all open submissions while this store is the leader. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #itemFinisher: itemFinishers.ItemFinisher;
  readonly #lengthEstimator = new lengthEstimators.LengthEstimator();
  readonly #textReplicator: textReplicators.TextReplicator;
  readonly #runMover: runMovers.RunMover;
  readonly #taskTable: taskTables.TaskTable;
  readonly #crashTracker: itemCrashTrackers.ItemCrashTracker;
  readonly #waitingOrder: waitingOrders.WaitingOrder;
  readonly #itemStarter: itemStarters.ItemStarter;
  /** When the quorum stopped confirming leadership, in monotonic ms. */
  #authorityLostAtMs: number | undefined;
  #isUpdateScheduled = false;
  #isStopped = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#taskTable = new taskTables.TaskTable(options.machine, options.clock);
    this.#crashTracker = new itemCrashTrackers.ItemCrashTracker(options);
    this.#waitingOrder = new waitingOrders.WaitingOrder({
      ...options,
      lengths: this.#lengthEstimator,
      canRun: (task) => this.#crashTracker.canRun(task),
    });
    this.#itemStarter = new itemStarters.ItemStarter({
      ...options,
      crashTracker: this.#crashTracker,
      waitingOrder: this.#waitingOrder,
      startRun: (task, engine) => void this.#run(task, engine),
    });
    this.#itemFinisher = new itemFinishers.ItemFinisher(options);
    this.#textReplicator = new textReplicators.TextReplicator(options.group);
    this.#runMover = new runMovers.RunMover({
      ...options,
      lengths: this.#lengthEstimator,
    });
  }

  /** Starts periodic updates until {@linkcode Dispatcher.stop} is called. */
  start(): void {
    this.#updateTasks();
    if (this.#isStopped) return;
    this.#options.clock.startTimer(UPDATE_INTERVAL_MS, () => this.start());
  }

  /** Stops updates and cancels all runs. */
  stop(): void {
    this.#isStopped = true;
    this.#itemStarter.stop();
    this.#cancelAll();
  }

  /** Schedules an update; calls before it runs are merged into one. */
  wake(): void {
    if (this.#isUpdateScheduled) return;
    this.#isUpdateScheduled = true;
    setImmediate(() => {
      this.#isUpdateScheduled = false;
      this.#updateTasks();
    });
  }

  /**
   * Estimates the slots that a service needs to complete its open steps on time,
   * if late groups have `minAvailableMs` left.
   */
  computeRequiredSlots(service: string, minAvailableMs: number): number {
    const tasks = filterByServices.filterByService(
      service,
      this.#taskTable.list(),
    );
    return this.#waitingOrder.computeRequiredSlots(
      service,
      tasks,
      minAvailableMs,
    );
  }

  #updateTasks(): void {
    if (this.#isStopped) return this.#cancelAll();
    if (!this.#options.group.hasAuthority()) return this.#waitForQuorum();
    this.#authorityLostAtMs = undefined;
    this.#syncTasks();
    const tasks = this.#taskTable.list();
    this.#itemStarter.startWaiting(tasks);
    if (!this.#itemStarter.isStarting()) {
      this.#runMover.moveToFasterEngines(tasks);
    }
    void this.#textReplicator.replicate(tasks);
  }

  /**
   * Keeps current runs for a grace period but starts none, as another store may
   * be the leader. Results are recorded only once a quorum commits them.
   */
  #waitForQuorum(): void {
    const { clock, group } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#authorityLostAtMs ??= nowMs;
    const isGraceOver = nowMs - this.#authorityLostAtMs > AUTHORITY_GRACE_MS;
    if (isGraceOver || group.getStatus()?.role !== "leader") this.#cancelAll();
  }

  #cancelAll(): void {
    this.#taskTable.cancelAll();
    this.#itemFinisher.discardPending();
  }

  /** Aligns tasks with the replicated records and scores complete texts. */
  #syncTasks(): void {
    for (const task of this.#taskTable.syncRecords()) {
      if (task.phase === "scoring") void this.#itemFinisher.score(task);
    }
  }

  async #run(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
  ): Promise<void> {
    const { engines, servers, dialect, clock, metrics } = this.#options;
    const { submission, item, progress, cancellation } = task;
    const runStart = this.#crashTracker.startRun(task, engine);
    const runCancellation = new csp.Cancellation();
    task.startRun({
      engine: engine.lifetime,
      cancellation: runCancellation,
      startedAtMs: clock.getMonotonicMs(),
    });
    cancellation.addListener(() => runCancellation.cancel());
    const stopWatching = servers.watch(
      engine.lifetime,
      () => {
        this.#crashTracker.recordEngineRestart(task, engine, runStart);
        this.#cancelLostRun(task, engine, runCancellation);
      },
    );
    engines.addRun(engine.lifetime);
    const model = task.getModel() ?? "";
    const end = await this.#options.runItem({
      clock,
      dialect,
      submission: submission.id,
      item,
      ...itemRuns.createRunTerms(submission),
      engine,
      progress,
      stallTimeoutMs: engines.getLoadingModel(engine.lifetime) === undefined
        ? STALL_TIMEOUT_MS
        : LOADING_STALL_TIMEOUT_MS,
      cancellation: runCancellation,
      onEvent: ({ intervalMs }) => {
        if (intervalMs !== undefined) {
          engines.recordInterval(engine, intervalMs);
        }
        if (this.#crashTracker.recordEvent(task)) this.wake();
      },
      onVersion: (version) =>
        engines.setVersion(engine.lifetime, model, version),
    });
    stopWatching();
    engines.removeRun(engine.lifetime);
    task.run = undefined;
    metrics.countItemRun(end.kind);
    await this.#crashTracker.recordRunEnd(task, engine, runStart, end);
    if (!task.isActive()) return;
    const isMoved = isInterrupted(end) && runCancellation.isCancelled();
    if (isMoved || end.kind === "lost") {
      // It was cancelled to move it, possibly before it had connected, or its
      // box was lost: neither speaks against the engine.
      this.#enterPhase(task, "waiting");
    } else {
      engines.recordRunResult(engine.lifetime, isEngineSuccess(end));
      this.#handleRunEnd(task, engine, end);
    }
    this.wake();
  }

  /**
   * Cancels a run whose engine restarted, without waiting for the stall timeout.
   * The item resumes at another engine after the events received so far.
   */
  #cancelLostRun(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    cancellation: csp.Cancellation,
  ): void {
    this.#options.log.write("info", "run.lost", {
      item: task.item.id,
      server: engine.id,
      born: engine.born,
      events: task.progress.countGeneratedEvents(),
    });
    cancellation.cancel();
  }

  /** Moves the runs of a model off an engine that is about to load weights. */
  moveRuns(engine: registry.RegisteredServer, model: string): void {
    this.#runMover.moveFromLoadingEngine(this.#taskTable.list(), engine, model);
  }

  #handleRunEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    end: Exclude<itemRuns.RunOutcome, { readonly kind: "lost" }>,
  ): void {
    if (end.kind !== "finished" || end.isVerified === true) {
      this.#reportRunEnd(task, engine, end);
    }
    switch (end.kind) {
      case "finished":
        this.#lengthEstimator.recordLength(task);
        this.#enterPhase(task, "scoring");
        void this.#itemFinisher.score(task, end.scored);
        return;
      case "failed":
        task.avoid(engine.lifetime);
        if (task.recordFailure()) return this.#itemFinisher.giveUp(task);
        break;
      case "impossible":
        if (task.recordImpossible()) return this.#itemFinisher.giveUp(task);
        break;
      case "notRun":
        if (end.isWrongServer) this.#options.servers.markUnavailable(engine);
        this.#options.engines.avoid(engine.lifetime);
        break;
      case "broken":
        this.#options.engines.avoid(engine.lifetime);
        break;
    }
    this.#enterPhase(task, "waiting");
  }

  #enterPhase(task: itemTasks.ItemTask, phase: phaseTimes.TaskPhase): void {
    task.times.enter(phase, this.#options.clock.getMonotonicMs());
  }

  #reportRunEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    end: itemRuns.RunOutcome,
  ): void {
    this.#options.log.write("info", "item.runEnded", {
      item: task.item.id,
      submission: task.submission.id,
      server: engine.id,
      outcome: end.kind,
      reason: "reason" in end ? end.reason : undefined,
      closed: end.kind === "broken" ? end.isClosed : undefined,
      verified: end.kind === "finished" ? end.isVerified : undefined,
      work: end.kind === "broken" ? task.getWorkDigest() : undefined,
      events: task.progress.countLocalEvents(),
    });
  }
}

/** Tells whether a run ended without a final response from its engine. */
function isInterrupted(end: itemRuns.RunOutcome): boolean {
  return end.kind === "broken" || end.kind === "notRun";
}

/** Tells whether the end of a run counts as a success of its engine. */
function isEngineSuccess(end: itemRuns.RunOutcome): boolean {
  return end.kind === "finished" || end.kind === "impossible";
}
