import type * as planCapacity from "./plan_capacity.ts";

/** Number of engines of one kind that are ordered in a failure domain. */
export interface CapacityOrder {
  readonly service: string;
  readonly domain: string;
  readonly engines: planCapacity.PurchaseOption;
  /** Total that should run, including those that run already. */
  readonly desired: number;
}

/** A change to the replicated capacity state. */
export type CapacityCommand =
  /** Records an order before it is sent, so that a later holder knows of it. */
  | { readonly kind: "noteCapacityOrder"; readonly order: CapacityOrder }
  /**
   * Records the initial number of engines of a service; only the first counts.
   */
  | {
    readonly kind: "noteCapacityBase";
    readonly service: string;
    readonly engines: number;
  };

/** Snapshot of a capacity state. */
export interface SavedCapacity {
  readonly orders: readonly CapacityOrder[];
  readonly bases: readonly (readonly [service: string, engines: number])[];
}

/**
 * Replicated record of the engines ordered and of the initial engine counts.
 */
export class CapacityState {
  #orders = new Map<string, CapacityOrder>();
  #bases = new Map<string, number>();

  /** Number of engines in the last order; 0 without one. */
  getDesiredCount(order: Omit<CapacityOrder, "desired">): number {
    return this.#orders.get(createKey(order))?.desired ?? 0;
  }

  /** Initial number of engines of a service; undefined until it is recorded. */
  getBaseline(service: string): number | undefined {
    return this.#bases.get(service);
  }

  apply(command: CapacityCommand): void {
    switch (command.kind) {
      case "noteCapacityOrder":
        this.#orders.set(createKey(command.order), command.order);
        return;
      case "noteCapacityBase":
        if (this.#bases.has(command.service)) return;
        this.#bases.set(command.service, command.engines);
    }
  }

  save(): SavedCapacity {
    return { orders: [...this.#orders.values()], bases: [...this.#bases] };
  }

  restore(saved: SavedCapacity | undefined): void {
    const orders = saved?.orders ?? [];
    this.#orders = new Map(orders.map((order) => [createKey(order), order]));
    this.#bases = new Map(saved?.bases ?? []);
  }
}

function createKey(order: Omit<CapacityOrder, "desired">): string {
  return `${order.service} ${order.domain} ${order.engines}`;
}
