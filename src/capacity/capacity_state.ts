import type * as planCapacity from "./plan_capacity.ts";

/** Engines of a kind that were asked for in a failure domain. */
export interface CapacityOrder {
  readonly service: string;
  readonly domain: string;
  readonly engines: planCapacity.PurchaseOption;
  readonly desired: number;
}

/** Changes what is agreed on about capacity. */
export type CapacityCommand =
  /** Notes an order before it is sent, so that another holder goes on from it. */
  | { readonly kind: "noteCapacityOrder"; readonly order: CapacityOrder }
  /** Notes how many engines a service had at first; the first word holds. */
  | {
    readonly kind: "noteCapacityBase";
    readonly service: string;
    readonly engines: number;
  };

/** Saved state of a capacity book. */
export interface SavedCapacity {
  readonly orders: readonly CapacityOrder[];
  readonly bases: readonly (readonly [service: string, engines: number])[];
}

/** What all replicas agree was ordered. */
export class CapacityState {
  #orders = new Map<string, CapacityOrder>();
  #bases = new Map<string, number>();

  /** Engines that were asked for last; 0 where none were. */
  getDesiredCount(order: Omit<CapacityOrder, "desired">): number {
    return this.#orders.get(createKey(order))?.desired ?? 0;
  }

  /** Engines that a service had at first; undefined before that is noted. */
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
