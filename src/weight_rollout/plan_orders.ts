/** What is known of an engine when orders are planned. */
export interface EngineView {
  readonly id: string;
  /** Weight version loaded, by model, as the engine reported last. */
  readonly models: ReadonlyMap<string, number>;
  /** An order to it is under way, or it switches weights. */
  readonly isBusy: boolean;
  /** No order before this monotonic time, in ms; set after a failure. */
  readonly notBeforeMs: number;
}

/** A version that every engine is to serve. */
export interface WeightTarget {
  readonly model: string;
  readonly weightVersion: number;
}

/** An order to give now. */
export interface PlannedOrder extends WeightTarget {
  readonly engineId: string;
}

/** Bounds on a plan. */
export interface PlanLimits {
  /** Share of the engines that may switch at once. */
  readonly maxSwapFraction: number;
  readonly nowMs: number;
}

function findOrder(
  engine: EngineView,
  targets: readonly WeightTarget[],
): PlannedOrder | undefined {
  const behind = targets
    .map((target) => ({
      ...target,
      engineId: engine.id,
      lag: target.weightVersion - (engine.models.get(target.model) ?? 0),
    }))
    .filter((target) => target.lag > 0)
    .sort((a, b) => b.lag - a.lag)[0];
  if (behind === undefined) return undefined;
  const { engineId, model, weightVersion } = behind;
  return { engineId, model, weightVersion };
}

/**
 * Plans which engines are ordered to load which version now. Versions that
 * were superseded before their turn are skipped, since only the newest is a
 * target; no engine is ever ordered to an older version.
 *
 * @param engines The live engines.
 * @param targets The newest version of each model.
 * @param limits Bounds.
 * @returns The orders, at most one an engine.
 */
export function planOrders(
  engines: readonly EngineView[],
  targets: readonly WeightTarget[],
  limits: PlanLimits,
): readonly PlannedOrder[] {
  const maxBusy = Math.max(
    1,
    Math.floor(engines.length * limits.maxSwapFraction),
  );
  const busy = engines.filter((engine) => engine.isBusy).length;
  return engines
    .filter((engine) => !engine.isBusy && engine.notBeforeMs <= limits.nowMs)
    .map((engine) => findOrder(engine, targets))
    .filter((order) => order !== undefined)
    .slice(0, Math.max(0, maxBusy - busy));
}
