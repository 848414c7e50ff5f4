import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimates from "./length_estimates.ts";
import * as orderTasks from "./order_tasks.ts";
import * as planMoves from "./plan_moves.ts";

/** Places that a move from a load leaves free elsewhere, for new work. */
const SPARE_PLACES = 2;
/** Between two looks for faster engines, in ms; moves take some 20 ms. */
const LOOK_MS = 100;

/** What a run mover needs. */
export interface RunMoverOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimates.LengthEstimates;
}

/**
 * Moves runs to engines where they end sooner. A moved run goes on with its
 * next event, after some milliseconds of reading.
 */
export class RunMover {
  readonly #options: RunMoverOptions;
  #lookedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /** Moves the runs of a model away from an engine that begins to load it. */
  moveFromLoad(
    tasks: readonly itemTasks.ItemTask[],
    engine: registry.RegisteredServer,
    model: string,
  ): void {
    const running = tasks.filter((task) =>
      task.run?.engine === engine.lifetime && task.getModel() === model
    );
    let moved = 0;
    const { lengths, engines } = this.#options;
    const gapMs = engines.getMedianGapMs();
    for (const task of orderTasks.orderTasks(running, lengths, gapMs)) {
      if (moved >= this.#countFree(task, engine.lifetime)) break;
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
  moveToFaster(tasks: readonly itemTasks.ItemTask[]): void {
    const { clock, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#lookedAtMs < LOOK_MS) return;
    this.#lookedAtMs = nowMs;
    for (const move of planMoves.planMoves(tasks, nowMs, this.#options)) {
      const { task, to, gainMs } = move;
      log.write("info", "run.moved", {
        item: task.item.id,
        server: task.run?.engine,
        to: to.id,
        gainMs: Math.round(gainMs),
        events: task.progress.countGeneratedEvents(),
      });
      task.target = to.lifetime;
      task.run?.cancellation.cancel();
    }
  }

  /** Free places at other engines that may take an item, less a reserve. */
  #countFree(task: itemTasks.ItemTask, from: registry.LifetimeKey): number {
    const { servers, engines } = this.#options;
    const free = servers.listReady(task.submission.terms.service)
      .filter((engine) =>
        engine.lifetime !== from &&
        chooseEngine.canTake(engine, engines, task.getNeed())
      )
      .reduce(
        (sum, engine) =>
          sum + engine.slots - engines.getRunning(engine.lifetime),
        0,
      );
    return free - SPARE_PLACES;
  }
}
