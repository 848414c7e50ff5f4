import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import type * as lengthEstimators from "./length_estimator.ts";

/** A run is left alone for so long, so that none goes to and fro, in ms. */
const MIN_RUN_AGE_MS = 400;
/**
 * What a move costs a run, in ms: a connection, the prompt and the text read
 * anew (some 20 ms for 7,000 tokens), and the event that was being made.
 */
const MOVE_COST_MS = 80;
/** Least time that a move must gain beyond its cost, in ms. */
const MIN_GAIN_MS = 150;
/** Engines slower than the fastest by less are not worth a move. */
const MIN_INTERVAL_RATIO = 1.1;

/** A run that should go on at another engine. */
export interface PlannedMove {
  readonly task: itemTasks.ItemTask;
  readonly targetEngine: registry.RegisteredServer;
  /** Time by which it is expected to end sooner. */
  readonly gainMs: number;
}

/** What is known of engines and lengths. */
export interface PlanMovesContext {
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
  readonly lengths: lengthEstimators.LengthEstimator;
}

interface Candidate {
  readonly task: itemTasks.ItemTask;
  readonly remainingEvents: number;
  readonly intervalMs: number;
  /** Events that are expected to come while its engine is still slow. */
  readonly slowEvents: number;
}

/**
 * Plans which runs go on at a faster engine with a free place. Those that have
 * longest to run choose first: they decide when their step is whole.
 *
 * @param tasks All items at work.
 * @param nowMs Monotonic time in ms.
 * @param context Engines that take work, their speeds, expected lengths.
 * @returns The moves; each fits into the places that the others leave.
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
      tasks.filter((task) => task.submission.terms.service === service),
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
    // An engine that has been slow for a while is expected to stay so as long
    // again: in a spell shorter than a move pays for, runs stay where they are.
    const slowEvents = table.getSlowDurationMs(run.engine) / intervalMs;
    return [{
      task,
      intervalMs: intervalMs,
      remainingEvents: remainingEvents,
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
      intervalMs: intervalMs,
      remainingEvents: remainingEvents,
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
