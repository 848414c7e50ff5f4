import type * as registry from "../registry/mod.ts";
import * as engineTables from "./engine_table.ts";

/**
 * How strongly an engine's failure rate increases its expected event interval:
 * the interval is multiplied by 1 + weight * rate. A broken run costs much more
 * time than a slow one, as it resumes elsewhere only after the stall timeout.
 */
const FAILURE_WEIGHT = 3;

/** Requirements of an item on the engine that runs it. */
export interface EngineRequirements {
  readonly model: string | undefined;
  /** Oldest weight version that may generate the item's text. */
  readonly minimumVersion: number;
  /** Engines that failed this item; used only when there is no other. */
  readonly avoided: ReadonlySet<registry.LifetimeKey>;
}

/** An engine that items can be assigned to, with its cached speed estimate. */
export interface EngineCandidate {
  readonly engine: registry.RegisteredServer;
  /** Expected event interval when idle, increased by the failure rate, in ms. */
  readonly idleIntervalMs: number;
  /** Runs at the engine, including those assigned since it was listed. */
  runCount: number;
}

/** Creates a candidate from an engine's current speed, failure rate and runs. */
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
 * Picks the engine with a free slot and the shortest expected event interval.
 * Engines that failed the item are picked only if no other has a free slot.
 *
 * @param candidates Engines that are eligible for the item.
 * @param avoided Lifetimes of engines that failed the item.
 * @returns The engine, or undefined when no candidate has a free slot.
 */
export function pickEngine(
  candidates: readonly EngineCandidate[],
  avoided: ReadonlySet<registry.LifetimeKey>,
): EngineCandidate | undefined {
  let best: EngineCandidate | undefined;
  let bestIntervalMs = Number.POSITIVE_INFINITY;
  let isBestAvoided = true;
  for (const candidate of candidates) {
    const { engine, idleIntervalMs, runCount } = candidate;
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

/** Tells whether an engine is eligible for an item and has a free slot. */
export function canAccept(
  engine: registry.RegisteredServer,
  table: engineTables.EngineTable,
  requirements: Omit<EngineRequirements, "avoided">,
): boolean {
  return table.getRunCount(engine.lifetime) < engine.slots &&
    isEligible(engine, table, requirements);
}

/**
 * Tells whether an engine can run an item, regardless of free slots: it is not
 * avoided, is not loading the model and has recent enough weights.
 */
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
