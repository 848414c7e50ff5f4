import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";
import * as orderTasks from "./order_tasks.ts";
import * as planMoves from "./plan_moves.ts";

/** Slots left free for new work when runs move off a loading engine. */
const RESERVED_SLOTS = 2;
/** Minimum interval between searches for faster engines, in ms. */
const CHECK_INTERVAL_MS = 100;

/** Options of a run mover. */
export interface RunMoverOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimators.LengthEstimator;
}

/**
 * Moves runs between engines by cancelling them. A moved item resumes after its
 * last event, once the new engine has prefilled the prompt and text.
 */
export class RunMover {
  readonly #options: RunMoverOptions;
  #checkedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /**
   * Moves runs of a model off an engine that begins to load new weights, as many
   * as fit into free slots of other engines.
   */
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

  /** Moves runs to free slots where they are expected to end earlier. */
  moveToFasterEngines(tasks: readonly itemTasks.ItemTask[]): void {
    const { clock, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#checkedAtMs < CHECK_INTERVAL_MS) return;
    this.#checkedAtMs = nowMs;
    for (const move of planMoves.planMoves(tasks, nowMs, this.#options)) {
      const { task, targetEngine, gainMs } = move;
      log.write("info", "run.moved", {
        item: task.item.id,
        server: task.run?.engine,
        to: targetEngine.id,
        gainMs: Math.round(gainMs),
        events: task.progress.countGeneratedEvents(),
      });
      task.targetEngine = targetEngine.lifetime;
      task.run?.cancellation.cancel();
    }
  }

  /** Counts free slots for an item at other engines, minus the reserve. */
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
