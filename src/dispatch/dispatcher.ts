import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as engineTables from "./engine_table.ts";
import * as itemCrashes from "./item_crashes.ts";
import * as itemFinishers from "./item_finisher.ts";
import type * as itemTasks from "./item_task.ts";
import * as lengthEstimates from "./length_estimates.ts";
import type * as phaseTimes from "./phase_times.ts";
import * as placementRounds from "./placement_round.ts";
import * as runMovers from "./run_mover.ts";
import * as taskTables from "./task_table.ts";
import * as textKeepers from "./text_keeper.ts";
import * as waitingOrders from "./waiting_order.ts";

/** Longest time between two looks for work, in ms. */
const UPDATE_MS = 50;
/** Silence of a run after which it goes on elsewhere, in ms; events of an
 * engine four times slower than usual come every 160 ms. */
const STALL_MS = 800;
/** Silence allowed while the engine loads weights, in ms. */
const LOADING_STALL_MS = 4_000;
/**
 * Time without authority after which the runs of this box are ended, in ms. A
 * slow quorum often answers again within some hundred ms, while ending and
 * repeating hundreds of runs costs seconds. It stays below the time in which
 * the end of a submission must take effect.
 */
const UNSURE_MS = 2_000;

/** What the dispatcher needs. */
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
  readonly crashGuard: itemCrashes.ItemCrashesOptions["crashGuard"];
  readonly draw: () => number;
}

/** Runs the items of all open submissions while this store leads. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #finisher: itemFinishers.ItemFinisher;
  readonly #lengths = new lengthEstimates.LengthEstimates();
  readonly #keeper: textKeepers.TextKeeper;
  readonly #mover: runMovers.RunMover;
  readonly #tasks: taskTables.TaskTable;
  readonly #crashes: itemCrashes.ItemCrashes;
  readonly #waitingOrder: waitingOrders.WaitingOrder;
  /** Since when this box leads without authority, in monotonic ms. */
  #unsureSinceMs: number | undefined;
  #isUpdateDue = false;
  #isStopped = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#tasks = new taskTables.TaskTable(
      options.machine,
      options.clock,
    );
    this.#crashes = new itemCrashes.ItemCrashes(options);
    this.#waitingOrder = new waitingOrders.WaitingOrder({
      ...options,
      lengths: this.#lengths,
      canRun: (task) => this.#crashes.canRun(task),
    });
    this.#finisher = new itemFinishers.ItemFinisher(options);
    this.#keeper = new textKeepers.TextKeeper(options.group);
    this.#mover = new runMovers.RunMover({
      ...options,
      lengths: this.#lengths,
    });
  }

  start(): void {
    this.#updateTasks();
    if (this.#isStopped) return;
    this.#options.clock.startTimer(UPDATE_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
    this.#dropAll();
  }

  /** Looks for work soon; many calls lead to one look. */
  wake(): void {
    if (this.#isUpdateDue) return;
    this.#isUpdateDue = true;
    setImmediate(() => {
      this.#isUpdateDue = false;
      this.#updateTasks();
    });
  }

  /** Places that the open steps of a service need to be in time. */
  countNeededPlaces(service: string, leastMs: number): number {
    const tasks = selectOf(service, this.#tasks.list());
    return this.#waitingOrder.countNeededPlaces(service, tasks, leastMs);
  }

  #updateTasks(): void {
    if (this.#isStopped) return this.#dropAll();
    if (!this.#options.group.hasAuthority()) return this.#waitForQuorum();
    this.#unsureSinceMs = undefined;
    this.#matchRecords();
    const tasks = this.#tasks.list();
    this.#startWaiting(tasks);
    this.#mover.moveToFaster(tasks);
    void this.#keeper.keep(tasks);
  }

  /**
   * Starts nothing while another store may lead. What runs goes on for a while:
   * its results are listed only once a quorum confirms them.
   */
  #waitForQuorum(): void {
    const { clock, group } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#unsureSinceMs ??= nowMs;
    const isLong = nowMs - this.#unsureSinceMs > UNSURE_MS;
    if (isLong || group.getStatus()?.role !== "leader") this.#dropAll();
  }

  #dropAll(): void {
    this.#tasks.dropAll();
    this.#finisher.drop();
  }

  /** Follows the log: items come with submissions and go with their end. */
  #matchRecords(): void {
    for (const task of this.#tasks.matchRecords()) {
      if (task.phase === "scoring") void this.#finisher.score(task);
    }
  }

  #startWaiting(tasks: readonly itemTasks.ItemTask[]): void {
    const round = new placementRounds.PlacementRound(this.#options);
    const services = new Set(
      tasks.filter((task) => task.phase === "waiting")
        .map((task) => task.submission.terms.service),
    );
    for (const service of services) {
      if (!round.hasPlace(service)) continue;
      const own = selectOf(service, tasks);
      for (const task of this.#waitingOrder.order(service, own)) {
        const engine = round.choose(service, task.getNeed(), task.target);
        if (engine !== undefined) void this.#run(task, engine);
        else if (!round.hasPlace(service)) break;
      }
    }
  }

  async #run(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
  ): Promise<void> {
    const { engines, servers, dialect, clock, metrics } = this.#options;
    const { submission, item, progress, cancellation } = task;
    const madeBefore = progress.countMade();
    const runCancellation = new csp.Cancellation();
    task.beginRun({
      engine: engine.lifetime,
      cancellation: runCancellation,
      startedAtMs: clock.getMonotonicMs(),
    });
    cancellation.add(() => runCancellation.cancel());
    const endWatch = servers.watch(
      engine.lifetime,
      () => {
        this.#crashes.noteLost(task, engine, madeBefore);
        this.#endLostRun(task, engine, runCancellation);
      },
    );
    engines.begin(engine.lifetime);
    const model = task.getModel() ?? "";
    let lastMs: number | undefined;
    const end = await itemRuns.runItem({
      clock,
      dialect,
      item,
      sender: submission.sender,
      host: submission.terms.host,
      engine,
      minimumVersion: submission.minimumVersion,
      isSingleVersion: submission.terms.isSingleVersion,
      progress,
      stallMs: engines.getLoading(engine.lifetime) === undefined
        ? STALL_MS
        : LOADING_STALL_MS,
      cancellation: runCancellation,
      onEvent: () => {
        const nowMs = clock.getMonotonicMs();
        if (lastMs !== undefined) engines.noteGap(engine, nowMs - lastMs);
        lastMs = nowMs;
      },
      onVersion: (version) => engines.observe(engine.lifetime, model, version),
    });
    endWatch();
    engines.end(engine.lifetime);
    task.run = undefined;
    metrics.countItemRun(end.kind);
    await this.#crashes.noteEnd(task, engine, { end, madeBefore });
    if (!task.isWanted()) return;
    if (isCutShort(end) && runCancellation.isCancelled()) {
      // This box moved the run, maybe before it was connected.
      this.#enter(task, "waiting");
    } else {
      engines.noteRun(engine.lifetime, isSound(end));
      this.#takeEnd(task, engine, end);
    }
    this.wake();
  }

  /**
   * Ends a run whose engine has started again: it knows nothing of the run, and
   * a silent connection would tell only after a while. The item goes on
   * elsewhere after the events that came.
   */
  #endLostRun(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    cancellation: csp.Cancellation,
  ): void {
    this.#options.log.write("info", "run.lost", {
      item: task.item.id,
      server: engine.id,
      born: engine.born,
      events: task.progress.countMade(),
    });
    cancellation.cancel();
  }

  /** Moves the runs of a model away from an engine that is to load it. */
  moveRuns(engine: registry.RegisteredServer, model: string): void {
    this.#mover.moveFromLoad(this.#tasks.list(), engine, model);
  }

  #takeEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    end: itemRuns.RunEnd,
  ): void {
    if (end.kind !== "finished") this.#noteEnd(task, engine, end);
    switch (end.kind) {
      case "finished":
        this.#lengths.note(task);
        this.#enter(task, "scoring");
        void this.#finisher.score(task);
        return;
      case "failed":
        task.avoid(engine.lifetime);
        if (task.countFailure()) return this.#finisher.giveUp(task);
        break;
      case "impossible":
        if (task.countImpossible()) return this.#finisher.giveUp(task);
        break;
      case "notRun":
        if (end.isOther) this.#options.servers.markAbsent(engine);
        this.#options.engines.avoid(engine.lifetime);
        break;
      case "broken":
        this.#options.engines.avoid(engine.lifetime);
        break;
    }
    this.#enter(task, "waiting");
  }

  #enter(task: itemTasks.ItemTask, phase: phaseTimes.TaskPhase): void {
    task.times.enter(phase, this.#options.clock.getMonotonicMs());
  }

  #noteEnd(
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
    end: itemRuns.RunEnd,
  ): void {
    this.#options.log.write("info", "item.runEnded", {
      item: task.item.id,
      submission: task.submission.id,
      server: engine.id,
      outcome: end.kind,
      reason: "reason" in end ? end.reason : undefined,
      closed: end.kind === "broken" ? end.isClosed : undefined,
      work: end.kind === "broken" ? task.getWork() : undefined,
      events: task.progress.countEvents(),
    });
  }
}

function selectOf(
  service: string,
  tasks: readonly itemTasks.ItemTask[],
): readonly itemTasks.ItemTask[] {
  return tasks.filter((task) => task.submission.terms.service === service);
}

/** Tells whether a run ended without a word of its engine. */
function isCutShort(end: itemRuns.RunEnd): boolean {
  return end.kind === "broken" || end.kind === "notRun";
}

/** Tells whether the end of a run speaks for its engine. */
function isSound(end: itemRuns.RunEnd): boolean {
  return end.kind === "finished" || end.kind === "impossible";
}
