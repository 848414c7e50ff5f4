import type * as trafficConfig from "../traffic_config/mod.ts";

/** How an engine is paid for. */
export type PurchaseOption =
  /** Stays until it is given back. */
  | "lasting"
  /** Cheaper; taken back with those of its failure domain, at short notice. */
  | "spot";

/** What decides how many engines run. */
export type CapacityPolicy =
  /** As many as there were at first, lost ones replaced. */
  | { readonly kind: "fixed" }
  /** As many as the work needs, never fewer than there were at first. */
  | {
    readonly kind: "planned";
    /** Places a run that wants one; above 1 there is a choice of fast ones. */
    readonly headroom: number;
  };

/** What the operator allows, for each failure domain. */
export type CapacityLimits = Omit<trafficConfig.Scaling, "bootMs">;

/** The engines of a service in one failure domain. */
export interface DomainEngines {
  readonly domain: string;
  /** Lasting engines that take work. */
  readonly lasting: number;
  /** Spot engines asked for last; those that are starting among them. */
  readonly orderedSpot: number;
  /** Whether it has none to be had, or takes its spot engines back. */
  readonly isUnavailable: boolean;
}

/** What a plan is made from. */
export interface CapacityInput {
  readonly policy: CapacityPolicy;
  readonly limits: CapacityLimits;
  /** Engines that there were at first. */
  readonly baseline: number;
  /** Runs that an engine takes at once. */
  readonly slots: number;
  /** Most places that open steps needed lately to be in time. */
  readonly neededSlots: number;
  readonly domains: readonly DomainEngines[];
}

/** Spot engines that a failure domain should have. */
export interface SpotPlan {
  readonly domain: string;
  readonly desired: number;
}

/**
 * Share of a lasting engine's price up to which spot engines are worth their
 * being taken back: one lost with a domain costs its runs some 10 ms of reading
 * each, and a start-up time until it is replaced.
 */
const MAX_SPOT_PRICE_RATIO = 0.6;
/** Spot engines above the plan that are kept: giving back and ordering cost. */
const MAX_KEPT_SURPLUS = 2;

/**
 * Plans the spot engines of each failure domain: what the work needs beyond the
 * lasting engines, evenly over the domains that have any, so that the loss of one
 * domain's takes as few as possible; where that leaves a choice, the cheapest.
 *
 * @param input What is known.
 * @returns The domains whose number changes.
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
  baseline: baseline,
  slots,
  neededSlots: neededSlots,
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

/** Gives one engine after the other to the domain that has the fewest. */
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
