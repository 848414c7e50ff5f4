import type * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as engineTables from "./engine_table.ts";
import * as filterByServices from "./filter_by_service.ts";
import type * as itemCrashTrackers from "./item_crash_tracker.ts";
import type * as itemTasks from "./item_task.ts";
import * as placementRounds from "./placement_round.ts";
import type * as waitingOrders from "./waiting_order.ts";

/**
 * Time after which a pass pauses for other events, in ms. Starting a run takes some
 * ms on a slow box; hundreds of them at once would delay heartbeats until the leader
 * loses its authority.
 */
const SLICE_MS = 15;
/** Age from which an unfinished pass is replaced by one with a new order, in ms. */
const MAX_PASS_AGE_MS = 500;

/**
 * A pass that starts waiting items in order. It yields after each of them, and takes
 * whether it was paused there.
 */
type StartPass = Generator<undefined, void, boolean>;

/** Options of an item starter. */
export interface ItemStarterOptions {
  readonly clock: clocks.Clock;
  readonly group: Pick<replicaGroups.ReplicaGroup, "hasAuthority">;
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly crashTracker: itemCrashTrackers.ItemCrashTracker;
  readonly waitingOrder: waitingOrders.WaitingOrder;
  /** Starts a run of an item at an engine. */
  readonly startRun: (
    task: itemTasks.ItemTask,
    engine: registry.RegisteredServer,
  ) => void;
}

/** Starts waiting items at engines with free slots, in slices of time. */
export class ItemStarter {
  readonly #options: ItemStarterOptions;
  /** The pass in progress, which is to be resumed; undefined if there is none. */
  #pass: StartPass | undefined;
  /** When the pass in progress was created, in monotonic ms. */
  #createdAtMs = 0;
  #isStopped = false;

  constructor(options: ItemStarterOptions) {
    this.#options = options;
  }

  /**
   * Begins a pass unless a recent one is still in progress.
   *
   * @param tasks All tasks of open submissions.
   */
  startWaiting(tasks: readonly itemTasks.ItemTask[]): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const isInProgress = this.#pass !== undefined;
    if (isInProgress && nowMs - this.#createdAtMs < MAX_PASS_AGE_MS) return;
    this.#pass = this.#startInOrder(tasks);
    this.#createdAtMs = nowMs;
    // A pass in progress is already scheduled to be resumed.
    if (!isInProgress) this.#resumePass();
  }

  /** Tells whether a pass is in progress, so that free slots are still to be taken. */
  isStarting(): boolean {
    return this.#pass !== undefined;
  }

  /** Starts no further items. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Continues the pass in progress for one slice. */
  #resumePass(): void {
    const { clock, group } = this.#options;
    const pass = this.#pass;
    this.#pass = undefined;
    if (pass === undefined || this.#isStopped) return;
    if (!group.hasAuthority()) return;
    const endMs = clock.getMonotonicMs() + SLICE_MS;
    let step = pass.next(true);
    while (step.done !== true && clock.getMonotonicMs() < endMs) {
      step = pass.next(false);
    }
    if (step.done === true) return;
    this.#pass = pass;
    setImmediate(() => this.#resumePass());
  }

  *#startInOrder(tasks: readonly itemTasks.ItemTask[]): StartPass {
    const { waitingOrder, crashTracker, startRun } = this.#options;
    let round = new placementRounds.PlacementRound(this.#options);
    const services = new Set(
      tasks.filter((task) => task.phase === "waiting")
        .map((task) => task.submission.terms.service),
    );
    for (const service of services) {
      if (!round.hasFreeSlot(service)) continue;
      const serviceTasks = filterByServices.filterByService(service, tasks);
      for (const task of waitingOrder.order(service, serviceTasks)) {
        if (!this.#canStart(task)) continue;
        const engine = round.reserveSlot(
          service,
          task.getRequirements(),
          task.targetEngine,
          crashTracker.getExcludedEngines(task),
        );
        if (engine !== undefined) startRun(task, engine);
        else if (!round.hasFreeSlot(service)) break;
        // Slots may have been freed and taken during a pause.
        if (yield) round = new placementRounds.PlacementRound(this.#options);
      }
    }
  }

  /**
   * Tells whether an item still waits. Since the order was made, it may have started
   * or ended, and an item of its kind may have been put on trial.
   */
  #canStart(task: itemTasks.ItemTask): boolean {
    return task.isActive() && task.phase === "waiting" &&
      this.#options.crashTracker.canRun(task);
  }
}
