import type * as faultPlans from "./fault_plan.ts";
import type * as layouts from "./fleet_layout.ts";
import type * as fleets from "./soak_fleet.ts";
import type * as storeGroupStates from "./store_group_state.ts";
import type * as storeLogReaders from "./store_log_reader.ts";

/** The fleet, as far as the choice of a store needs it. */
type StoreFleet = Pick<fleets.SoakFleet, "listStores" | "isRunning">;

/** Finds the store boxes that faults hit. */
export class StoreFinder {
  readonly #fleet: StoreFleet;
  readonly #storeLogs: storeLogReaders.StoreLogReader;
  /** Wall-clock time at which the disk was created by box name, in ms. */
  readonly #diskCreatedMs = new Map<string, number>();

  constructor(
    fleet: StoreFleet,
    storeLogs: storeLogReaders.StoreLogReader,
  ) {
    this.#fleet = fleet;
    this.#storeLogs = storeLogs;
  }

  /** Notes that a box has got a new disk at a wall-clock time. */
  recordNewDisk(box: layouts.SoakBox, atMs: number): void {
    this.#diskCreatedMs.set(box.name, atMs);
  }

  /** Returns the box that a selector names now, the first one if it names none. */
  findStore(selector: faultPlans.StoreSelector): layouts.SoakBox {
    const stores = this.#fleet.listStores();
    const found = this.#selectStore(selector, stores) ?? stores[0];
    if (found === undefined) {
      throw new Error("Cannot select a store: none left");
    }
    return found;
  }

  #selectStore(
    selector: faultPlans.StoreSelector,
    stores: readonly layouts.SoakBox[],
  ): layouts.SoakBox | undefined {
    switch (selector.kind) {
      case "index":
        return stores[selector.index % stores.length];
      case "leader":
        return this.#storeLogs.findLeader(stores, 0);
      case "counted":
        return this.#findCounted(stores, "any");
      case "countedFollower":
        return this.#findCounted(stores, "follower");
      case "spare": {
        const voters = this.#storeLogs.listVoters(stores);
        return stores.find((store) => !voters.includes(store.address));
      }
      case "newest":
        return this.#sortByDiskAge(stores).at(-1);
      case "oldest":
        return this.#sortByDiskAge(stores)[0];
    }
  }

  /** Finds a voter that counts among the boxes that opened their present disk. */
  #findCounted(
    stores: readonly layouts.SoakBox[],
    role: storeGroupStates.CountedRole,
  ): layouts.SoakBox | undefined {
    const opened = stores.filter((store) =>
      this.#fleet.isRunning(store) &&
      this.#storeLogs.hasOpened(store, this.#diskCreatedMs.get(store.name) ?? 0)
    );
    return this.#storeLogs.findCounted(opened, role);
  }

  #sortByDiskAge(
    stores: readonly layouts.SoakBox[],
  ): readonly layouts.SoakBox[] {
    return stores.toSorted((a, b) =>
      (this.#diskCreatedMs.get(a.name) ?? 0) -
      (this.#diskCreatedMs.get(b.name) ?? 0)
    );
  }
}
