import type * as trafficConfig from "../traffic_config/mod.ts";

/** How an engine is paid for. */
export type PurchaseOption =
  /** On demand: runs until it is released. */
  | "lasting"
  /**
   * Cheaper; the provider may reclaim all of a failure domain at short notice.
   */
  | "spot";

/** Policy for the number of engines. */
export type CapacityPolicy =
  /** Keeps the initial number of engines by replacing lost ones. */
  | { readonly kind: "fixed" }
  /** Follows demand, but never goes below the initial number of engines. */
  | {
    readonly kind: "planned";
    /**
     * Slots provided per slot needed; above 1 leaves a choice of fast engines.
     */
    readonly headroom: number;
  };

/** Limits and prices that the operator has set. */
export type CapacityLimits = Omit<trafficConfig.Scaling, "bootMs">;

/** The engines of a service in one failure domain. */
export interface DomainEngines {
  readonly domain: string;
  /** Ready lasting engines. */
  readonly lasting: number;
  /** Spot engines ordered, including those that are still starting. */
  readonly orderedSpot: number;
  /** Whether it recently refused an order or reclaimed spot engines. */
  readonly isUnavailable: boolean;
}

/** Input of a capacity plan for one service. */
export interface CapacityInput {
  readonly policy: CapacityPolicy;
  readonly limits: CapacityLimits;
  /** Initial number of engines. */
  readonly baseline: number;
  /** Number of concurrent runs per engine. */
  readonly slots: number;
  /** Recent peak of the slots that open steps need to finish in time. */
  readonly neededSlots: number;
  readonly domains: readonly DomainEngines[];
}

/** Number of spot engines that a failure domain should have. */
export interface SpotPlan {
  readonly domain: string;
  readonly desired: number;
}

/**
 * Highest price of a spot engine, as a share of a lasting engine's price, at
 * which spot engines are ordered. The saving has to cover the runs and the
 * start-up time that are lost when spot engines are reclaimed.
 */
const MAX_SPOT_PRICE_RATIO = 0.6;
/** Spot engines kept above the plan, to avoid frequent release and reorder. */
const MAX_KEPT_SURPLUS = 2;

/**
 * Plans the spot engines of each failure domain: the engines needed beyond the
 * lasting ones, spread evenly over the available domains, so that a reclaim in
 * one domain hits as few as possible. Among equal choices the cheapest domain
 * wins.
 *
 * @param input Policy, limits, demand and current engines.
 * @returns The failure domains whose number of spot engines should change.
 */
export function planCapacity(
  input: CapacityInput,
): readonly SpotPlan[] {
  const { limits, domains } = input;
  const { spotPrice = Number.POSITIVE_INFINITY } = limits;
  if (spotPrice > MAX_SPOT_PRICE_RATIO) return [];
  const lasting = domains.reduce((sum, { lasting }) => sum + lasting, 0);
  const desiredSpot = Math.max(0, countDesiredEngines(input) - lasting);
  const spotByDomain = spreadEvenly(desiredSpot, input);
  const ordered = domains.reduce((sum, item) => sum + item.orderedSpot, 0);
  const planned = [...spotByDomain.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
  const isSurplus = planned < ordered && ordered - planned <= MAX_KEPT_SURPLUS;
  return domains.flatMap(({ domain, orderedSpot }) => {
    const desired = spotByDomain.get(domain) ?? 0;
    if (desired === orderedSpot) return [];
    if (isSurplus && desired < orderedSpot) return [];
    return [{ domain, desired }];
  });
}

function countDesiredEngines({
  policy,
  baseline,
  slots,
  neededSlots,
}: CapacityInput): number {
  switch (policy.kind) {
    case "fixed":
      return baseline;
    case "planned":
      return Math.max(
        baseline,
        Math.ceil(neededSlots * policy.headroom / Math.max(1, slots)),
      );
  }
}

/** Assigns engines one by one to the available domain with the fewest. */
function spreadEvenly(
  total: number,
  { limits, domains }: CapacityInput,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const available = domains.filter((item) => !item.isUnavailable);
  for (let remaining = total; remaining > 0; remaining -= 1) {
    const next = available
      .filter((item) => count(item) + item.lasting < limits.maximum)
      .toSorted((a, b) => count(a) - count(b) || getPrice(a) - getPrice(b))[0];
    if (next === undefined) break;
    counts.set(next.domain, count(next) + 1);
  }
  return counts;

  function count(item: DomainEngines): number {
    return counts.get(item.domain) ?? 0;
  }
  function getPrice(item: DomainEngines): number {
    return limits.prices.get(item.domain) ?? 1;
  }
}
