import type * as registry from "../registry/mod.ts";
import * as engineTables from "./engine_table.ts";

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
  readonly avoided: ReadonlySet<registry.LifetimeKey>;
}

/** An engine in a choice, with what does not change while items are placed. */
export interface EngineCandidate {
  readonly engine: registry.RegisteredServer;
  /** Expected time between its events without a run, failures weighed in, in ms. */
  readonly idleMs: number;
  /** Runs at it, those among them that were placed since. */
  running: number;
}

/** Describes an engine for a choice. */
export function createCandidate(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
): EngineCandidate {
  const failures = FAILURE_WEIGHT * table.getFailureShare(engine.lifetime);
  return {
    engine,
    idleMs: table.getGapMs(engine.lifetime) * (1 + failures),
    running: table.getRunning(engine.lifetime),
  };
}

/**
 * Picks the engine with a free place where an item's tokens are expected to
 * come fastest. Engines that failed the item are taken only where no other is
 * left.
 *
 * @param candidates Engines that may take the item.
 * @param avoided Starts of engines that failed it.
 * @returns The engine, or undefined when none has a place.
 */
export function pickEngine(
  candidates: readonly EngineCandidate[],
  avoided: ReadonlySet<registry.LifetimeKey>,
): EngineCandidate | undefined {
  let best: EngineCandidate | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  let isBestAvoided = true;
  for (const candidate of candidates) {
    const { engine, idleMs, running } = candidate;
    if (running >= engine.slots) continue;
    const isAvoided = avoided.size > 0 && avoided.has(engine.lifetime);
    if (isAvoided && !isBestAvoided) continue;
    const ms = idleMs * engineTables.getSlowdown(running + 1, engine.slots);
    if (ms >= bestMs && isAvoided === isBestAvoided) continue;
    best = candidate;
    bestMs = ms;
    isBestAvoided = isAvoided;
  }
  return best;
}

/** Tells whether an engine has a place for an item and may take it. */
export function canTake(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
  need: Omit<EngineNeed, "avoided">,
): boolean {
  return table.getRunning(engine.lifetime) < engine.slots &&
    canServe(engine, table, need);
}

/** Tells whether an engine may take an item once it has a place. */
export function canServe(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
  need: Omit<EngineNeed, "avoided">,
): boolean {
  const { model, minimumVersion } = need;
  if (table.isAvoided(engine.lifetime)) return false;
  if (model === undefined) return true;
  if (table.getLoading(engine.lifetime) === model) return false;
  return table.getVersion(engine, model) >= minimumVersion;
}
