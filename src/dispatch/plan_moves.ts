import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";
import * as filterByServices from "./filter_by_service.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";

/** Minimum age of a run before it may be moved, in ms; prevents thrashing. */
const MIN_RUN_AGE_MS = 400;
/**
 * Cost of a move, in ms: a new connection, the prefill of prompt and text, and
 * the loss of the event being generated.
 */
const MOVE_COST_MS = 80;
/** Minimum time that a move must save beyond its cost, in ms. */
const MIN_GAIN_MS = 150;
/** Runs are moved off engines at this multiple of the fastest's interval. */
const MIN_INTERVAL_RATIO = 1.1;

/** A run that should resume at another engine. */
export interface PlannedMove {
  readonly task: itemTasks.ItemTask;
  readonly targetEngine: registry.RegisteredServer;
  /** Time by which the run is expected to end earlier, in ms. */
  readonly gainMs: number;
}

/** Inputs for planning moves besides the tasks and the time. */
export interface PlanMovesContext {
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimators.LengthEstimator;
}

interface Candidate {
  readonly task: itemTasks.ItemTask;
  readonly remainingEvents: number;
  readonly intervalMs: number;
  /** Events expected to be generated while the engine is still slow. */
  readonly slowEvents: number;
}

/**
 * Plans which runs to move to faster engines with free slots. Runs with the
 * longest remaining time choose first, as they delay their steps most.
 *
 * @param tasks All items of open submissions.
 * @param nowMs Monotonic time in ms.
 * @param context Engines, their speeds and length estimates.
 * @returns Moves that all fit into the free slots together.
 */
export function planMoves(
  tasks: readonly itemTasks.ItemTask[],
  nowMs: number,
  context: PlanMovesContext,
): readonly PlannedMove[] {
  const services = new Set(tasks.map((task) => task.submission.terms.service));
  return [...services].flatMap((service) => {
    const engines = context.servers.listReady(service);
    const candidates = listCandidates(
      filterByServices.filterByService(service, tasks),
      engines,
      nowMs,
      context,
    );
    return planService(candidates, engines, context.engines);
  });
}

function listCandidates(
  tasks: readonly itemTasks.ItemTask[],
  engines: readonly registry.RegisteredServer[],
  nowMs: number,
  context: PlanMovesContext,
): readonly Candidate[] {
  const { engines: table, lengths } = context;
  const intervals = new Map(
    engines.map((engine) => [
      engine.lifetime,
      table.estimateIntervalMs(engine, table.getRunCount(engine.lifetime)),
    ]),
  );
  const minIntervalMs = Math.min(...intervals.values()) * MIN_INTERVAL_RATIO;
  return tasks.flatMap((task): readonly Candidate[] => {
    const { run } = task;
    if (run === undefined || run.cancellation.isCancelled()) return [];
    if (nowMs - run.startedAtMs < MIN_RUN_AGE_MS) return [];
    const intervalMs = intervals.get(run.engine) ?? 0;
    if (intervalMs < minIntervalMs) return [];
    const remainingEvents = lengths.estimateRemaining(task);
    // Assumes that an engine stays slow for as long as it has been slow, so that
    // runs are not moved because of a brief slowdown.
    const slowEvents = table.getSlowDurationMs(run.engine) / intervalMs;
    return [{
      task,
      intervalMs,
      remainingEvents,
      slowEvents,
    }];
  }).toSorted((a, b) =>
    b.remainingEvents * b.intervalMs - a.remainingEvents * a.intervalMs
  );
}

function planService(
  candidates: readonly Candidate[],
  engines: readonly registry.RegisteredServer[],
  table: engineTables.EngineTable,
): readonly PlannedMove[] {
  const reservedSlots = new Map<registry.LifetimeKey, number>();
  const moves: PlannedMove[] = [];
  for (
    const {
      task,
      intervalMs,
      remainingEvents,
      slowEvents,
    } of candidates
  ) {
    const fastest = findFastestEngine(task, engines, table, reservedSlots);
    if (fastest === undefined) continue;
    const events = Math.min(remainingEvents, slowEvents);
    const gainMs = events * (intervalMs - fastest.intervalMs) - MOVE_COST_MS;
    if (gainMs < MIN_GAIN_MS) continue;
    reservedSlots.set(
      fastest.engine.lifetime,
      (reservedSlots.get(fastest.engine.lifetime) ?? 0) + 1,
    );
    moves.push({ task, targetEngine: fastest.engine, gainMs });
  }
  return moves;
}

function findFastestEngine(
  task: itemTasks.ItemTask,
  engines: readonly registry.RegisteredServer[],
  table: engineTables.EngineTable,
  reservedSlots: ReadonlyMap<registry.LifetimeKey, number>,
):
  | { readonly engine: registry.RegisteredServer; readonly intervalMs: number }
  | undefined {
  return engines
    .filter((engine) => {
      const runCount = table.getRunCount(engine.lifetime) +
        (reservedSlots.get(engine.lifetime) ?? 0);
      return engine.lifetime !== task.run?.engine && runCount < engine.slots &&
        !task.getAvoidedEngines().has(engine.lifetime) &&
        chooseEngine.canAccept(engine, table, task.getRequirements());
    })
    .map((engine) => {
      const running = table.getRunCount(engine.lifetime) +
        (reservedSlots.get(engine.lifetime) ?? 0);
      return {
        engine,
        intervalMs: table.estimateIntervalMs(engine, running + 1),
      };
    })
    .toSorted((a, b) => a.intervalMs - b.intervalMs)[0];
}
