import type * as backends from "../backend_server/mod.ts";
import type * as engines from "../engine/mod.ts";

/** What is known of an engine when orders are planned. */
export interface EngineView {
  readonly id: string;
  /** Weight version loaded, by model, as the engine reported last. */
  readonly models: ReadonlyMap<string, number>;
  /** An order to it is under way, or it switches weights. */
  readonly isBusy: boolean;
  /** Role as reported, and as operators set it. */
  readonly role: backends.ServerRole;
  readonly wantedRole: backends.ServerRole;
  /** No order before this monotonic time, in ms; set after a failure. */
  readonly notBeforeMs: number;
}

/** A version that every engine is to serve. */
export interface WeightTarget {
  readonly model: string;
  readonly weightVersion: number;
}

/** An order to give now. */
export interface PlannedOrder {
  readonly engineId: string;
  readonly action: engines.OrderAction;
}

/** Bounds on a plan. */
export interface PlanLimits {
  /** Share of the engines that may switch at once. */
  readonly maxSwapFraction: number;
  readonly nowMs: number;
}

/** An adapter is named `base:name`. */
function createLoadAction(target: WeightTarget): engines.OrderAction {
  const kind = target.model.includes(":") ? "loadAdapter" : "load";
  return { kind, model: target.model, weightVersion: target.weightVersion };
}

function findOrder(
  engine: EngineView,
  targets: readonly WeightTarget[],
): PlannedOrder | undefined {
  const engineId = engine.id;
  if (engine.role !== engine.wantedRole) {
    return { engineId, action: { kind: "setRole", role: engine.wantedRole } };
  }
  const [mostOutdated] = targets
    .map((target) => ({
      target,
      lag: target.weightVersion - (engine.models.get(target.model) ?? 0),
    }))
    .filter((entry) => entry.lag > 0)
    .sort((a, b) => b.lag - a.lag);
  if (mostOutdated === undefined) return undefined;
  return { engineId, action: createLoadAction(mostOutdated.target) };
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
