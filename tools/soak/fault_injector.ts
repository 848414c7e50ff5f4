import * as sleeps from "../stand_ins/sleep.ts";
import * as faultPlans from "./fault_plan.ts";
import type * as layouts from "./fleet_layout.ts";
import type * as fleets from "./soak_fleet.ts";
import type * as operators from "./soak_operator.ts";
import * as stopPlans from "./stop_plan.ts";
import * as storeFinders from "./store_finder.ts";
import type * as storeLogReaders from "./store_log_reader.ts";

const STOP_GRACE_MS = 8_000;
const RETIRE_TIMEOUT_MS = 20_000;
const CONFIGURATION_TIMEOUT_MS = 20_000;
/** Longest wait for a new leader while the former one is suspended, in ms. */
const ELECTION_TIMEOUT_MS = 10_000;
/** Longest wait for a snapshot transfer to begin, in ms. */
const TRANSFER_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 20;

/** Dependencies and timing of a {@link FaultInjector}. */
export interface FaultInjectorOptions {
  readonly fleet: fleets.SoakFleet;
  readonly operator: operators.SoakOperator;
  readonly storeLogs: storeLogReaders.StoreLogReader;
  /** Least time from the start of an empty box to the next disk loss, in ms. */
  readonly catchUpMs: number;
  /** Time over which the boxes start after a total power loss, in ms. */
  readonly startSpreadMs: number;
  readonly printProgress: (message: string) => void;
  /** Called just before a box is stopped; awaited. */
  readonly onStopping: (box: layouts.SoakBox) => Promise<void>;
}

/** Start of a box with an empty disk; `startMs` is wall-clock time. */
export interface EmptyDiskStart {
  readonly box: layouts.SoakBox;
  readonly startMs: number;
}

/**
 * Applies the faults of a plan. Disk losses run one at a time, with a catch-up
 * period between them; other faults run concurrently.
 */
export class FaultInjector {
  readonly #options: FaultInjectorOptions;
  readonly #pendingFaults: Promise<void>[] = [];
  /** Planned stops of store boxes; each ends once the box is started again. */
  readonly #storeStops: Promise<void>[] = [];
  readonly #storeFinder: storeFinders.StoreFinder;
  #earliestLossMs = 0;
  #powerRestoredMs = 0;
  readonly emptyDiskStarts: EmptyDiskStart[] = [];

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
    this.#storeFinder = new storeFinders.StoreFinder(
      options.fleet,
      options.storeLogs,
    );
  }

  /**
   * Applies all faults of a plan, with planned stops beside them; resolves once
   * the last one has completed.
   */
  async run(
    plan: faultPlans.FaultPlan,
    stops: readonly stopPlans.PlannedBoxStop[],
  ): Promise<void> {
    const startMs = Date.now();
    for (const stop of stops) {
      this.#pendingFaults.push(this.#stopBox(stop, startMs + stop.atMs));
    }
    for (const { atMs, fault } of plan) {
      await sleeps.sleep(Math.max(0, startMs + atMs - Date.now()));
      const completion = this.#applyFault(fault);
      if (faultPlans.hasDiskLoss(fault)) await completion;
      else this.#pendingFaults.push(completion);
    }
    await Promise.all(this.#pendingFaults);
  }

  /**
   * Returns when the boxes began to start after the total power loss, in
   * wall-clock ms; 0 before it.
   */
  getPowerRestoredMs(): number {
    return this.#powerRestoredMs;
  }

  async #applyFault(fault: faultPlans.Fault): Promise<void> {
    switch (fault.kind) {
      case "loseDisk":
        return await this.#wipeDisk(fault);
      case "restart":
        return await this.#restartStore(fault);
      case "stop":
        return await this.#stopStore(fault);
      case "restartInTransfer":
        return await this.#restartInTransfer(fault);
      case "pause":
        return await this.#pauseStore(fault);
      case "replace":
        return await this.#swapStore(fault);
      case "retire":
        return await this.#retireStore(fault);
      case "addStore":
        return this.#addStore();
      case "rollEntries":
        return await this.#rollEntries();
      case "loseAll":
        return await this.#restartAll(fault);
    }
  }

  async #wipeDisk(
    { store, downMs }: Extract<faultPlans.Fault, { kind: "loseDisk" }>,
  ): Promise<void> {
    await this.#awaitCatchUp();
    const box = this.#storeFinder.findStore(store);
    this.#options.printProgress(`${box.name} loses its disk (${store.kind})`);
    await this.#options.fleet.kill(box);
    this.#options.fleet.removeDisk(box);
    await sleeps.sleep(downMs);
    this.#options.fleet.start(box);
    this.#recordEmptyStart(box);
  }

  async #restartStore(
    { store, downMs }: Extract<faultPlans.Fault, { kind: "restart" }>,
  ): Promise<void> {
    const { fleet, printProgress, catchUpMs } = this.#options;
    const box = this.#storeFinder.findStore(store);
    if (!fleet.isRunning(box)) return;
    printProgress(`${box.name} is killed and restarted`);
    this.#deferNextLoss(downMs + catchUpMs);
    await fleet.kill(box);
    await sleeps.sleep(downMs);
    // Another fault may have removed the box meanwhile.
    if (fleet.listStores().includes(box)) fleet.start(box);
  }

  /** Stops a store box; no disk is lost until it has caught up again. */
  async #stopStore(
    { store }: Extract<faultPlans.Fault, { kind: "stop" }>,
  ): Promise<void> {
    const { fleet, printProgress } = this.#options;
    const box = this.#storeFinder.findStore(store);
    if (!fleet.isRunning(box) || fleet.isStopping(box)) return;
    printProgress(`${box.name} is stopped (${store.kind})`);
    this.#storeStops.push(this.#restartGracefully(box));
    await Promise.all(this.#storeStops);
  }

  async #restartGracefully(box: layouts.SoakBox): Promise<void> {
    const { fleet, catchUpMs } = this.#options;
    await fleet.stop(box, STOP_GRACE_MS);
    // Another fault may have removed the box meanwhile.
    if (fleet.listStores().includes(box)) fleet.start(box);
    this.#deferNextLoss(catchUpMs);
  }

  async #restartInTransfer(
    fault: Extract<faultPlans.Fault, { kind: "restartInTransfer" }>,
  ): Promise<void> {
    const { fleet, storeLogs, printProgress } = this.#options;
    const box = this.#storeFinder.findStore(fault.store);
    const startMs = Date.now();
    while (!storeLogs.hasSnapshotTransfer(fleet.listStores(), box, startMs)) {
      if (Date.now() > startMs + TRANSFER_TIMEOUT_MS) {
        return printProgress(`no snapshot transfer to ${box.name} began`);
      }
      await sleeps.sleep(POLL_INTERVAL_MS);
    }
    await sleeps.sleep(fault.afterMs);
    const store: faultPlans.StoreSelector = {
      kind: "index",
      index: fleet.listStores().indexOf(box),
    };
    await this.#restartStore({ kind: "restart", store, downMs: fault.downMs });
  }

  async #pauseStore(
    { store, pauseMs }: Extract<faultPlans.Fault, { kind: "pause" }>,
  ): Promise<void> {
    const { fleet, printProgress, catchUpMs } = this.#options;
    const box = this.#storeFinder.findStore(store);
    if (!fleet.isRunning(box)) return;
    printProgress(`${box.name} is suspended for ${pauseMs} ms`);
    this.#deferNextLoss(pauseMs + catchUpMs);
    fleet.suspend(box);
    await sleeps.sleep(pauseMs);
    if (fleet.listStores().includes(box)) fleet.resume(box);
  }

  async #swapStore(
    { store, afterMs }: Extract<faultPlans.Fault, { kind: "replace" }>,
  ): Promise<void> {
    await this.#awaitCatchUp();
    const { fleet, printProgress } = this.#options;
    const box = this.#storeFinder.findStore(store);
    printProgress(`${box.name} is removed with its disk`);
    await fleet.removeStore(box);
    await sleeps.sleep(afterMs);
    const replacement = fleet.addStore(box);
    printProgress(`${replacement.name} is added as the replacement`);
    this.#recordEmptyStart(replacement);
  }

  async #retireStore(
    { store }: Extract<faultPlans.Fault, { kind: "retire" }>,
  ): Promise<void> {
    await this.#awaitCatchUp();
    const { fleet, printProgress, operator } = this.#options;
    const box = this.#storeFinder.findStore(store);
    if (fleet.listStores().length < 4) return;
    printProgress(`${box.name} is being retired`);
    const isRetired = await operator.retire(
      box.name,
      Date.now() + RETIRE_TIMEOUT_MS,
    );
    printProgress(
      `${box.name} ${
        isRetired ? "is retired and removed" : "did not retire in time"
      }`,
    );
    if (isRetired) await fleet.removeStore(box);
  }

  #addStore(): void {
    const [first] = this.#options.fleet.listStores();
    if (first === undefined) return;
    const box = this.#options.fleet.addStore(first);
    this.#options.printProgress(`${box.name} is added`);
    this.#storeFinder.recordNewDisk(box, Date.now());
  }

  /** Stops a box at a wall-clock time in ms, and starts it again. */
  async #stopBox(
    { kind, index, signals }: stopPlans.PlannedBoxStop,
    atMs: number,
  ): Promise<void> {
    await sleeps.sleep(Math.max(0, atMs - Date.now()));
    const { fleet, printProgress, catchUpMs, onStopping } = this.#options;
    const boxes = kind === "entry" ? fleet.entries : fleet.listStores();
    const box = boxes[index % boxes.length];
    if (box === undefined || !fleet.isRunning(box) || fleet.isStopping(box)) {
      return;
    }
    if (kind === "store") this.#deferNextLoss(STOP_GRACE_MS + catchUpMs);
    else await onStopping(box);
    printProgress(`${box.name} is stopped`);
    await fleet.stop(box, STOP_GRACE_MS, stopPlans.LATER_SIGNALS[signals]);
    // Another fault may have removed the box meanwhile.
    if (fleet.listBoxes().includes(box)) fleet.start(box);
  }

  async #rollEntries(): Promise<void> {
    const { fleet, printProgress } = this.#options;
    printProgress("the entry boxes are restarted one at a time");
    for (const box of fleet.entries) {
      if (!fleet.isRunning(box) || fleet.isStopping(box)) continue;
      await fleet.stop(box, STOP_GRACE_MS);
      fleet.start(box);
    }
  }

  /** Suspends the leader until another store acts as leader. */
  async #startElection(): Promise<void> {
    const { fleet, storeLogs, printProgress } = this.#options;
    const leader = this.#storeFinder.findStore({ kind: "counted" });
    const others = fleet.listStores().filter((store) => store !== leader);
    const startMs = Date.now();
    fleet.suspend(leader);
    while (storeLogs.findLeader(others, startMs) === undefined) {
      if (Date.now() > startMs + ELECTION_TIMEOUT_MS) break;
      await sleeps.sleep(POLL_INTERVAL_MS);
    }
    fleet.resume(leader);
    const tookMs = Date.now() - startMs;
    printProgress(`${leader.name} was suspended for ${tookMs} ms, to elect`);
  }

  async #restartAll(
    { store, downMs, afterElectionMs }: Extract<
      faultPlans.Fault,
      { kind: "loseAll" }
    >,
  ): Promise<void> {
    await Promise.all(this.#pendingFaults);
    await this.#awaitCatchUp();
    const { fleet, printProgress, operator, startSpreadMs } = this.#options;
    const version = await operator.putConfiguration(
      Date.now() + CONFIGURATION_TIMEOUT_MS,
    );
    if (afterElectionMs !== undefined) {
      await this.#startElection();
      await sleeps.sleep(afterElectionMs);
    }
    const box = this.#storeFinder.findStore(store);
    printProgress(
      `all boxes lose power, ${box.name} also its disk; configuration ${
        version === undefined ? "not acknowledged" : "acknowledged"
      }`,
    );
    await fleet.killAll();
    fleet.removeDisk(box);
    await sleeps.sleep(downMs);
    this.#powerRestoredMs = Date.now();
    const boxes = fleet.listBoxes();
    const startIntervalMs = startSpreadMs / boxes.length;
    for (const other of boxes) {
      fleet.start(other);
      await sleeps.sleep(startIntervalMs);
    }
    this.#recordEmptyStart(box);
  }

  /** Waits until the next disk loss is allowed. */
  async #awaitCatchUp(): Promise<void> {
    await Promise.all(this.#storeStops);
    for (;;) {
      const remainingMs = this.#earliestLossMs - Date.now();
      if (remainingMs <= 0) return;
      await sleeps.sleep(remainingMs);
    }
  }

  /** Allows no disk loss for at least `delayMs` from now. */
  #deferNextLoss(delayMs: number): void {
    this.#earliestLossMs = Math.max(this.#earliestLossMs, Date.now() + delayMs);
  }

  #recordEmptyStart(box: layouts.SoakBox): void {
    const startMs = Date.now();
    this.emptyDiskStarts.push({ box, startMs });
    this.#storeFinder.recordNewDisk(box, startMs);
    this.#deferNextLoss(this.#options.catchUpMs);
  }
}
