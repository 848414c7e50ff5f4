import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import * as orderTasks from "./order_tasks.ts";

/**
 * Time between events, against the median engine's, from which an engine is
 * slow; sound engines differ by up to 1.3.
 */
const SLOW_FACTOR = 1.7;
/** Places that a move leaves free at other engines, for new work. */
const SPARE_PLACES = 2;

/** What a run mover needs. */
export interface RunMoverOptions {
  readonly log: logs.Log;
  readonly servers: registry.ServerRegistry;
  readonly engines: engineTables.EngineTable;
}

/**
 * Moves runs to engines where they end sooner. A moved run goes on with its
 * next event, after some milliseconds of reading.
 */
export class RunMover {
  readonly #options: RunMoverOptions;

  constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /** Moves the runs of a model away from an engine that begins to load it. */
  moveFromLoad(
    tasks: readonly itemTasks.ItemTask[],
    engine: string,
    model: string,
  ): void {
    const running = tasks.filter((task) =>
      task.run?.engine === engine && task.getModel() === model
    );
    this.#move(running, engine, "load");
  }

  /** Moves runs away from engines that make events slowly. */
  moveFromSlow(tasks: readonly itemTasks.ItemTask[]): void {
    const { engines } = this.#options;
    const running = tasks.filter((task) => task.run !== undefined);
    const ids = [...new Set(running.map((task) => task.run?.engine ?? ""))];
    const limitMs = SLOW_FACTOR * engines.getMedianGapMs();
    for (const id of ids) {
      if (engines.getGapMs(id) <= limitMs) continue;
      this.#move(running.filter((task) => task.run?.engine === id), id, "slow");
    }
  }

  #move(
    running: readonly itemTasks.ItemTask[],
    engine: string,
    reason: string,
  ): void {
    let moved = 0;
    for (const task of orderTasks.orderTasks(running)) {
      if (moved >= this.#countFree(task, engine)) break;
      task.run?.cancellation.cancel();
      moved += 1;
    }
    if (moved === 0) return;
    this.#options.log.write("info", "runs.moved", {
      server: engine,
      reason,
      running: running.length,
      moved,
    });
  }

  /** Free places at sound engines that may take an item. */
  #countFree(task: itemTasks.ItemTask, from: string): number {
    const { servers, engines } = this.#options;
    const limitMs = SLOW_FACTOR * engines.getMedianGapMs();
    const free = servers.listReady(task.submission.terms.service)
      .filter((engine) =>
        engine.id !== from && engines.getGapMs(engine.id) <= limitMs &&
        chooseEngine.canTake(engine, engines, task.getNeed())
      )
      .reduce(
        (sum, engine) => sum + engine.slots - engines.getRunning(engine.id),
        0,
      );
    return free - SPARE_PLACES;
  }
}
