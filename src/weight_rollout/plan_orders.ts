import type * as backendServers from "../backend_server/mod.ts";
import type * as engines from "../engine/mod.ts";

/** State of an engine as known when orders are planned. */
export interface EngineView {
  readonly id: string;
  /** Loaded weight version by model, as last reported by the engine. */
  readonly models: ReadonlyMap<string, number>;
  /** Whether an order to it is in progress or it is switching weights. */
  readonly isBusy: boolean;
  /** Role reported by the engine. */
  readonly role: backendServers.ServerRole;
  /** Role set by operators. */
  readonly wantedRole: backendServers.ServerRole;
  /** Earliest monotonic time of the next order, in ms; set after a failure. */
  readonly notBeforeMs: number;
}

/** A weight version that every engine should serve. */
export interface WeightTarget {
  readonly model: string;
  readonly weightVersion: number;
}

/** An order to send to an engine now. */
export interface PlannedOrder {
  readonly engineId: string;
  readonly action: engines.OrderAction;
}

/** Limits of a plan. */
export interface PlanLimits {
  /** Share of the engines that may switch weights at once. */
  readonly maxSwapFraction: number;
  /** Current monotonic time, in ms. */
  readonly nowMs: number;
}

/** Creates a load order; a model named `base:name` is an adapter. */
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
 * Plans the orders to send now. Only the newest version of a model is a target,
 * so superseded versions are skipped, and no engine is ordered to load an older
 * version than it holds. A change of role goes before a load.
 *
 * @param engines The live engines.
 * @param targets The newest version of each model.
 * @param limits Limits of the plan.
 * @returns The orders, at most one per engine.
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
