import type * as registry from "../registry/mod.ts";
import type * as engineTables from "./engine_table.ts";

/**
 * How much a certain failure adds to an engine's score, as a factor: a broken
 * run goes on elsewhere after a silence that is a few times its length.
 */
const FAILURE_WEIGHT = 3;

/** What an item asks of its engine. */
export interface EngineNeed {
  readonly model: string | undefined;
  readonly minimumVersion: number;
  /** Engines that this item should not go to again at once. */
  readonly avoided: ReadonlySet<string>;
}

/**
 * Picks the engine where an item's tokens are expected to come fastest.
 *
 * @param engines Engines that take new work.
 * @param table What is known of them.
 * @param need What the item asks.
 * @returns The engine, or undefined when none has a place.
 */
export function chooseEngine(
  engines: readonly registry.RegisteredServer[],
  table: engineTables.EngineTable,
  need: EngineNeed,
): registry.RegisteredServer | undefined {
  const able = engines.filter((engine) => canTake(engine, table, need));
  const fresh = able.filter((engine) => !need.avoided.has(engine.id));
  let best: registry.RegisteredServer | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const engine of fresh.length > 0 ? fresh : able) {
    const failures = FAILURE_WEIGHT * table.getFailureShare(engine.id);
    const running = table.getRunning(engine.id) + 1;
    const score = table.estimateGapMs(engine, running) * (1 + failures);
    if (score >= bestScore) continue;
    best = engine;
    bestScore = score;
  }
  return best;
}

/** Tells whether an engine has a place for an item and may take it. */
export function canTake(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
  need: EngineNeed,
): boolean {
  const { model, minimumVersion } = need;
  if (table.getRunning(engine.id) >= engine.slots) return false;
  if (table.isAvoided(engine)) return false;
  if (model === undefined) return true;
  if (table.getLoading(engine.id) === model) return false;
  return table.getVersion(engine, model) >= minimumVersion;
}
