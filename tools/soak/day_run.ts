import * as sleeps from "../stand_ins/sleep.ts";
import type * as dayPlans from "./day_plan.ts";
import type * as layouts from "./fleet_layout.ts";
import type * as fleets from "./soak_fleet.ts";
import type * as operators from "./soak_operator.ts";
import type * as watches from "./store_watch.ts";

const STOP_MS = 8_000;
const RETIRE_MS = 20_000;
const CONFIGURATION_MS = 20_000;
/** Longest wait for a snapshot to be sent, in ms. */
const TRANSFER_MS = 15_000;
const POLL_MS = 20;

/** What a run of a day needs. */
export interface DayRunOptions {
  readonly fleet: fleets.SoakFleet;
  readonly operator: operators.SoakOperator;
  readonly watch: watches.StoreWatch;
  /** From the start of an emptied box until the next disk may be lost, in ms. */
  readonly catchUpMs: number;
  /** Time within which the boxes start again after all lost power, in ms. */
  readonly startSpreadMs: number;
  readonly tell: (message: string) => void;
}

/** Start of a box whose disk was empty. */
export interface EmptyStart {
  readonly box: layouts.SoakBox;
  readonly startMs: number;
}

/** Brings about the faults of a plan, disks one at a time. */
export class DayRun {
  readonly #options: DayRunOptions;
  readonly #background: Promise<void>[] = [];
  readonly #diskSinceMs = new Map<string, number>();
  #nextLossMs = 0;
  #restartMs = 0;
  readonly emptyStarts: EmptyStart[] = [];

  constructor(options: DayRunOptions) {
    this.#options = options;
  }

  /** Runs a plan whose times count from now; ends after its last fault. */
  async run(plan: dayPlans.DayPlan): Promise<void> {
    const beginMs = Date.now();
    for (const { atMs, fault } of plan) {
      await sleeps.sleep(Math.max(0, beginMs + atMs - Date.now()));
      const done = this.#apply(fault);
      if (hasDiskLoss(fault)) await done;
      else this.#background.push(done);
    }
    await Promise.all(this.#background);
  }

  /** When the first box was started after all lost power, in wall ms. */
  getRestartMs(): number {
    return this.#restartMs;
  }

  async #apply(fault: dayPlans.Fault): Promise<void> {
    switch (fault.kind) {
      case "loseDisk":
        return await this.#wipeDisk(fault);
      case "restart":
        return await this.#restart(fault);
      case "restartInTransfer":
        return await this.#restartInTransfer(fault);
      case "pause":
        return await this.#stopShortly(fault);
      case "replace":
        return await this.#swapStore(fault);
      case "retire":
        return await this.#retire(fault);
      case "addStore":
        return this.#addStore();
      case "rollEntries":
        return await this.#rollEntries();
      case "loseAll":
        return await this.#restartAll(fault);
    }
  }

  async #wipeDisk(
    { store, downMs }: Extract<dayPlans.Fault, { kind: "loseDisk" }>,
  ): Promise<void> {
    await this.#awaitNextLoss();
    const box = this.#choose(store);
    this.#options.tell(`${box.name} loses its disk`);
    await this.#options.fleet.kill(box);
    this.#options.fleet.removeDisk(box);
    await sleeps.sleep(downMs);
    this.#options.fleet.start(box);
    this.#noteEmpty(box);
  }

  async #restart(
    { store, downMs }: Extract<dayPlans.Fault, { kind: "restart" }>,
  ): Promise<void> {
    const { fleet, tell, catchUpMs } = this.#options;
    const box = this.#choose(store);
    if (!fleet.isRunning(box)) return;
    tell(`${box.name} is killed and starts again`);
    this.#extendCatchUp(downMs + catchUpMs);
    await fleet.kill(box);
    await sleeps.sleep(downMs);
    // It may have been emptied and removed meanwhile.
    if (fleet.listStores().includes(box)) fleet.start(box);
  }

  async #restartInTransfer(
    fault: Extract<dayPlans.Fault, { kind: "restartInTransfer" }>,
  ): Promise<void> {
    const { fleet, watch, tell } = this.#options;
    const box = this.#choose(fault.store);
    const sinceMs = Date.now();
    while (!watch.hasTransfer(fleet.listStores(), box, sinceMs)) {
      if (Date.now() > sinceMs + TRANSFER_MS) {
        return tell(`no snapshot is sent to ${box.name}`);
      }
      await sleeps.sleep(POLL_MS);
    }
    await sleeps.sleep(fault.afterMs);
    const store: dayPlans.StoreChoice = {
      kind: "index",
      index: fleet.listStores().indexOf(box),
    };
    await this.#restart({ kind: "restart", store, downMs: fault.downMs });
  }

  async #stopShortly(
    { store, pauseMs }: Extract<dayPlans.Fault, { kind: "pause" }>,
  ): Promise<void> {
    const { fleet, tell, catchUpMs } = this.#options;
    const box = this.#choose(store);
    if (!fleet.isRunning(box)) return;
    tell(`${box.name} stands still for ${pauseMs} ms`);
    this.#extendCatchUp(pauseMs + catchUpMs);
    fleet.keepStill(box);
    await sleeps.sleep(pauseMs);
    if (fleet.listStores().includes(box)) fleet.resume(box);
  }

  async #swapStore(
    { store, afterMs }: Extract<dayPlans.Fault, { kind: "replace" }>,
  ): Promise<void> {
    await this.#awaitNextLoss();
    const { fleet, tell } = this.#options;
    const box = this.#choose(store);
    tell(`${box.name} leaves for good`);
    await fleet.removeStore(box);
    await sleeps.sleep(afterMs);
    const successor = fleet.addStore(box);
    tell(`${successor.name} comes in its place`);
    this.#noteEmpty(successor);
  }

  async #retire(
    { store }: Extract<dayPlans.Fault, { kind: "retire" }>,
  ): Promise<void> {
    await this.#awaitNextLoss();
    const { fleet, tell, operator } = this.#options;
    const box = this.#choose(store);
    if (fleet.listStores().length < 4) return;
    tell(`${box.name} is to be emptied`);
    const isEmptied = await operator.retire(box.name, Date.now() + RETIRE_MS);
    tell(`${box.name} ${isEmptied ? "is emptied and removed" : "stays"}`);
    if (isEmptied) await fleet.removeStore(box);
  }

  #addStore(): void {
    const [first] = this.#options.fleet.listStores();
    if (first === undefined) return;
    const box = this.#options.fleet.addStore(first);
    this.#options.tell(`${box.name} comes in addition`);
    this.#diskSinceMs.set(box.name, Date.now());
  }

  async #rollEntries(): Promise<void> {
    const { fleet, tell } = this.#options;
    tell("the entry boxes are restarted in turn");
    for (const box of fleet.entries) {
      if (!fleet.isRunning(box)) continue;
      await fleet.stop(box, STOP_MS);
      fleet.start(box);
    }
  }

  async #restartAll(
    { store, downMs }: Extract<dayPlans.Fault, { kind: "loseAll" }>,
  ): Promise<void> {
    await Promise.all(this.#background);
    await this.#awaitNextLoss();
    const { fleet, tell, operator, startSpreadMs } = this.#options;
    const isTaken = await operator.putConfiguration(
      Date.now() + CONFIGURATION_MS,
    );
    const box = this.#choose(store);
    tell(
      `all boxes lose power, ${box.name} its disk; configuration ${
        isTaken ? "acknowledged" : "not acknowledged"
      }`,
    );
    await fleet.killAll();
    fleet.removeDisk(box);
    await sleeps.sleep(downMs);
    this.#restartMs = Date.now();
    const boxes = fleet.listBoxes();
    const pauseMs = startSpreadMs / boxes.length;
    for (const other of boxes) {
      fleet.start(other);
      await sleeps.sleep(pauseMs);
    }
    this.#noteEmpty(box);
  }

  /** Waits until the box that was emptied last had its time to catch up. */
  async #awaitNextLoss(): Promise<void> {
    for (;;) {
      const leftMs = this.#nextLossMs - Date.now();
      if (leftMs <= 0) return;
      await sleeps.sleep(leftMs);
    }
  }

  /** No disk is lost while another box is away, nor soon after. */
  #extendCatchUp(delayMs: number): void {
    this.#nextLossMs = Math.max(this.#nextLossMs, Date.now() + delayMs);
  }

  #noteEmpty(box: layouts.SoakBox): void {
    const startMs = Date.now();
    this.emptyStarts.push({ box, startMs });
    this.#diskSinceMs.set(box.name, startMs);
    this.#extendCatchUp(this.#options.catchUpMs);
  }

  #choose(choice: dayPlans.StoreChoice): layouts.SoakBox {
    const stores = this.#options.fleet.listStores();
    const found = this.#find(choice, stores) ?? stores[0];
    if (found === undefined) throw new Error("Cannot choose a store: none is");
    return found;
  }

  #find(
    choice: dayPlans.StoreChoice,
    stores: readonly layouts.SoakBox[],
  ): layouts.SoakBox | undefined {
    const { watch } = this.#options;
    switch (choice.kind) {
      case "index":
        return stores[choice.index % stores.length];
      case "leader":
        return watch.findLeader(stores, 0);
      case "spare": {
        const voters = watch.listVoters(stores);
        return stores.find((store) => !voters.includes(store.address));
      }
      case "newest":
        return this.#sortByDisk(stores).at(-1);
      case "oldest":
        return this.#sortByDisk(stores)[0];
    }
  }

  #sortByDisk(
    stores: readonly layouts.SoakBox[],
  ): readonly layouts.SoakBox[] {
    return stores.toSorted((a, b) =>
      (this.#diskSinceMs.get(a.name) ?? 0) -
      (this.#diskSinceMs.get(b.name) ?? 0)
    );
  }
}

function hasDiskLoss(fault: dayPlans.Fault): boolean {
  switch (fault.kind) {
    case "loseDisk":
    case "replace":
    case "retire":
    case "loseAll":
      return true;
    case "restart":
    case "restartInTransfer":
    case "pause":
    case "addStore":
    case "rollEntries":
      return false;
  }
}
