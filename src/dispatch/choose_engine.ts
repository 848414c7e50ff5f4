import type * as registry from "../registry/mod.ts";
import * as engineTables from "./engine_table.ts";

/**
 * How much a certain failure adds to an engine's score, as a factor: a broken
 * run goes on elsewhere after a silence that is a few times its length.
 */
const FAILURE_WEIGHT = 3;

/** What an item asks of its engine. */
export interface EngineRequirements {
  readonly model: string | undefined;
  readonly minimumVersion: number;
  /** Engines that this item should not go to again at once. */
  readonly avoided: ReadonlySet<registry.LifetimeKey>;
}

/** An engine in a choice, with what does not change while items are placed. */
export interface EngineCandidate {
  readonly engine: registry.RegisteredServer;
  /** Expected time between its events without a run, failures weighed in, in ms. */
  readonly idleIntervalMs: number;
  /** Runs at it, those among them that were placed since. */
  runCount: number;
}

/** Describes an engine for a choice. */
export function createCandidate(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
): EngineCandidate {
  const failurePenalty = FAILURE_WEIGHT * table.getFailureRate(engine.lifetime);
  return {
    engine,
    idleIntervalMs: table.getIdleIntervalMs(engine.lifetime) *
      (1 + failurePenalty),
    runCount: table.getRunCount(engine.lifetime),
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
  let bestIntervalMs = Number.POSITIVE_INFINITY;
  let isBestAvoided = true;
  for (const candidate of candidates) {
    const { engine, idleIntervalMs: idleIntervalMs, runCount: runCount } =
      candidate;
    if (runCount >= engine.slots) continue;
    const isAvoided = avoided.size > 0 && avoided.has(engine.lifetime);
    if (isAvoided && !isBestAvoided) continue;
    const intervalMs = idleIntervalMs *
      engineTables.computeSlowdown(runCount + 1, engine.slots);
    if (intervalMs >= bestIntervalMs && isAvoided === isBestAvoided) continue;
    best = candidate;
    bestIntervalMs = intervalMs;
    isBestAvoided = isAvoided;
  }
  return best;
}

/** Tells whether an engine has a place for an item and may take it. */
export function canAccept(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
  requirements: Omit<EngineRequirements, "avoided">,
): boolean {
  return table.getRunCount(engine.lifetime) < engine.slots &&
    isEligible(engine, table, requirements);
}

/** Tells whether an engine may take an item once it has a place. */
export function isEligible(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
  requirements: Omit<EngineRequirements, "avoided">,
): boolean {
  const { model, minimumVersion } = requirements;
  if (table.isAvoided(engine.lifetime)) return false;
  if (model === undefined) return true;
  if (table.getLoadingModel(engine.lifetime) === model) return false;
  return table.getVersion(engine, model) >= minimumVersion;
}
