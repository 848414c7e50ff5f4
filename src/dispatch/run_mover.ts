import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";
import * as orderTasks from "./order_tasks.ts";
import * as planMoves from "./plan_moves.ts";

/** Places that a move from a load leaves free elsewhere, for new work. */
const RESERVED_SLOTS = 2;
/** Between two looks for faster engines, in ms; moves take some 20 ms. */
const CHECK_INTERVAL_MS = 100;

/** What a run mover needs. */
export interface RunMoverOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimators.LengthEstimator;
}

/**
 * Moves runs to engines where they end sooner. A moved run goes on with its
 * next event, after some milliseconds of reading.
 */
export class RunMover {
  readonly #options: RunMoverOptions;
  #checkedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /** Moves the runs of a model away from an engine that begins to load it. */
  moveFromLoadingEngine(
    tasks: readonly itemTasks.ItemTask[],
    engine: registry.RegisteredServer,
    model: string,
  ): void {
    const running = tasks.filter((task) =>
      task.run?.engine === engine.lifetime && task.getModel() === model
    );
    let moved = 0;
    const { lengths, engines } = this.#options;
    const intervalMs = engines.getMedianIdleIntervalMs();
    for (const task of orderTasks.orderTasks(running, lengths, intervalMs)) {
      if (moved >= this.#countAvailableSlots(task, engine.lifetime)) break;
      task.run?.cancellation.cancel();
      moved += 1;
    }
    if (moved === 0) return;
    this.#options.log.write("info", "runs.moved", {
      server: engine.id,
      reason: "load",
      running: running.length,
      moved,
    });
  }

  /** Moves runs to free places where they are expected to end sooner. */
  moveToFasterEngines(tasks: readonly itemTasks.ItemTask[]): void {
    const { clock, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#checkedAtMs < CHECK_INTERVAL_MS) return;
    this.#checkedAtMs = nowMs;
    for (const move of planMoves.planMoves(tasks, nowMs, this.#options)) {
      const { task, targetEngine: targetEngine, gainMs } = move;
      log.write("info", "run.moved", {
        item: task.item.id,
        server: task.run?.engine,
        to: targetEngine.id,
        gainMs: Math.round(gainMs),
        events: task.progress.countMade(),
      });
      task.targetEngine = targetEngine.lifetime;
      task.run?.cancellation.cancel();
    }
  }

  /** Free places at other engines that may take an item, less a reserve. */
  #countAvailableSlots(
    task: itemTasks.ItemTask,
    excluded: registry.LifetimeKey,
  ): number {
    const { servers, engines } = this.#options;
    const freeSlots = servers.listReady(task.submission.terms.service)
      .filter((engine) =>
        engine.lifetime !== excluded &&
        chooseEngine.canAccept(engine, engines, task.getRequirements())
      )
      .reduce(
        (sum, engine) =>
          sum + engine.slots - engines.getRunCount(engine.lifetime),
        0,
      );
    return freeSlots - RESERVED_SLOTS;
  }
}
