import * as fs from "node:fs";
import * as path from "node:path";
import * as zlib from "node:zlib";
import * as children from "../deployment/child.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";
import type * as throttles from "./cpu_throttle.ts";

const PROGRAM_FILE = "target/hoistscale.cjs";
/** Heap limits that fit the setting `memoryMb: 400`. */
const NODE_OPTIONS = ["--max-old-space-size=140", "--max-semi-space-size=4"];
const INITIAL_STORE_COUNT = 4;

/** Options of a {@link SoakFleet}. */
export interface SoakFleetOptions {
  /** Folder of settings, disks and logs. */
  readonly folder: string;
  /** Third octet of the first of four consecutive /24 subnets. */
  readonly firstSubnet: number;
  readonly throttle: throttles.CpuThrottle;
  /** Longest suspension of a new process before it runs, in ms. */
  readonly maxStartDelayMs: number;
}

/** Runs each box as a process; its disk is a folder that outlives it. */
export class SoakFleet {
  readonly #options: SoakFleetOptions;
  readonly #processes = new Map<string, children.Child>();
  readonly entries: readonly layouts.SoakBox[];
  #stores: readonly layouts.SoakBox[];
  #removedStores: readonly layouts.SoakBox[] = [];
  #storeCount = INITIAL_STORE_COUNT;
  /** Processes whose exit was requested. */
  readonly #expectedExits = new WeakSet<children.Child>();
  readonly #unexpectedExits: string[] = [];
  /** Wall-clock time of the last start, stop or suspension by box name, in ms. */
  readonly #disturbedMs = new Map<string, number>();
  /** Wall-clock time of the last kill or suspension by box name, in ms. */
  readonly #failedMs = new Map<string, number>();
  /** Names of the boxes that were sent SIGTERM and have not ended. */
  readonly #stopping = new Set<string>();
  #startCount = 0;
  #isFirstStart = true;

  constructor(options: SoakFleetOptions) {
    this.#options = options;
    this.entries = layouts.listEntryBoxes(options.firstSubnet);
    this.#stores = Array.from(
      { length: INITIAL_STORE_COUNT },
      (_, index) => layouts.createStoreBox(options.firstSubnet, index),
    );
    fs.mkdirSync(options.folder, { recursive: true });
  }

  listStores(): readonly layouts.SoakBox[] {
    return this.#stores;
  }

  /** Lists the store boxes that ever were part of the fleet. */
  listAllStores(): readonly layouts.SoakBox[] {
    return [...this.#stores, ...this.#removedStores];
  }

  listBoxes(): readonly layouts.SoakBox[] {
    return [...this.entries, ...this.#stores];
  }

  isRunning(box: layouts.SoakBox): boolean {
    return this.#processes.get(box.name)?.getEnd() === undefined &&
      this.#processes.has(box.name);
  }

  /** Makes later starts set `isFirstStart: false`. */
  endFirstStart(): void {
    this.#isFirstStart = false;
  }

  /** Returns when a box was last started, stopped, suspended or resumed, in ms. */
  getDisturbedMs(box: layouts.SoakBox): number {
    return this.#disturbedMs.get(box.name) ?? 0;
  }

  /** Returns when a box was last killed, suspended or resumed, in ms. */
  getFailedMs(box: layouts.SoakBox): number {
    return this.#failedMs.get(box.name) ?? 0;
  }

  /** Whether a box was sent SIGTERM and has not ended. */
  isStopping(box: layouts.SoakBox): boolean {
    return this.#stopping.has(box.name);
  }

  #recordFailure(...boxes: readonly layouts.SoakBox[]): void {
    this.#recordDisturbance(...boxes);
    for (const { name } of boxes) this.#failedMs.set(name, Date.now());
  }

  /** Returns when this last happened to any box with a disk, in ms. */
  getCoreDisturbedMs(): number {
    const disks = this.listBoxes().filter((box) => box.hasDisk);
    return Math.max(...disks.map((box) => this.getDisturbedMs(box)));
  }

  #recordDisturbance(...boxes: readonly layouts.SoakBox[]): void {
    for (const { name } of boxes) this.#disturbedMs.set(name, Date.now());
  }

  start(box: layouts.SoakBox): void {
    this.#recordDisturbance(box);
    const file = path.join(this.#options.folder, `${box.name}.yaml`);
    const dataFolder = this.#getDataFolder(box);
    if (box.hasDisk) fs.mkdirSync(dataFolder, { recursive: true });
    fs.writeFileSync(
      file,
      layouts.renderSettings(
        box,
        this.entries,
        dataFolder,
        this.#isFirstStart,
      ),
    );
    const child = new children.Child({
      name: box.name,
      command: process.execPath,
      args: [...NODE_OPTIONS, PROGRAM_FILE, "serve", "--settings", file],
      logFolder: this.#options.folder,
    });
    this.#processes.set(box.name, child);
    void this.#recordExit(child);
    void this.#deferStart(child);
  }

  /** Suspends a new process briefly, as on a busy box, then throttles it. */
  async #deferStart(child: children.Child): Promise<void> {
    this.#startCount += 1;
    const delayShare = zlib.crc32(`${child.name} ${this.#startCount}`) % 1_000 /
      1_000;
    const delayMs = this.#options.maxStartDelayMs * delayShare;
    if (delayMs > 0) {
      child.kill("SIGSTOP");
      await sleeps.sleep(delayMs);
      child.kill("SIGCONT");
    }
    this.#options.throttle.limit(child);
  }

  /** Describes the processes that exited without a request. */
  listUnexpectedExits(): readonly string[] {
    return this.#unexpectedExits;
  }

  async kill(box: layouts.SoakBox): Promise<void> {
    this.#recordFailure(box);
    await this.#killProcesses([this.#getProcess(box)]);
  }

  /** Kills all boxes at once. */
  async killAll(): Promise<void> {
    this.#recordFailure(...this.listBoxes());
    await this.#killProcesses([...this.#processes.values()]);
  }

  /**
   * Stops a box with SIGTERM, and with SIGKILL after `graceMs`.
   *
   * @param later Signals to send while the box drains.
   */
  async stop(
    box: layouts.SoakBox,
    graceMs: number,
    later: readonly NodeJS.Signals[] = [],
  ): Promise<void> {
    const child = this.#getProcess(box);
    this.#recordDisturbance(box);
    this.#expectedExits.add(child);
    this.#stopping.add(box.name);
    const killTimer = setTimeout(() => child.kill("SIGKILL"), graceMs);
    const signalTimer = setTimeout(() => {
      for (const signal of later) child.kill(signal);
    }, graceMs / 2);
    child.kill("SIGTERM");
    await child.ended;
    clearTimeout(killTimer);
    clearTimeout(signalTimer);
    this.#stopping.delete(box.name);
  }

  /** Suspends the process of a box, which simulates a stalled box. */
  suspend(box: layouts.SoakBox): void {
    this.#recordFailure(box);
    this.#options.throttle.release(this.#getProcess(box));
    this.#getProcess(box).kill("SIGSTOP");
  }

  /** Resumes a suspended box and throttles it again. */
  resume(box: layouts.SoakBox): void {
    this.#recordFailure(box);
    this.#getProcess(box).kill("SIGCONT");
    this.#options.throttle.limit(this.#getProcess(box));
  }

  /** Deletes the disk of a box, which must not be running. */
  removeDisk(box: layouts.SoakBox): void {
    fs.rmSync(this.#getDataFolder(box), { recursive: true, force: true });
  }

  /** Kills a store box, deletes its disk and removes it from the fleet. */
  async removeStore(box: layouts.SoakBox): Promise<void> {
    await this.kill(box);
    this.removeDisk(box);
    this.#processes.delete(box.name);
    this.#stores = this.#stores.filter((store) => store !== box);
    this.#removedStores = [...this.#removedStores, box];
  }

  /** Starts a new, empty store box in the failure domain of `neighbor`. */
  addStore(neighbor: layouts.SoakBox): layouts.SoakBox {
    for (;;) {
      const store = layouts.createStoreBox(
        this.#options.firstSubnet,
        this.#storeCount,
      );
      this.#storeCount += 1;
      if (store.failureDomain !== neighbor.failureDomain) continue;
      this.#stores = [...this.#stores, store];
      this.start(store);
      return store;
    }
  }

  #killProcesses(processes: readonly children.Child[]): Promise<void> {
    for (const child of processes) this.#expectedExits.add(child);
    return children.stopChildren(processes);
  }

  async #recordExit(child: children.Child): Promise<void> {
    const { code, signal } = await child.ended;
    if (this.#expectedExits.has(child)) return;
    this.#unexpectedExits.push(
      `${child.name}: ended by itself, ${code ?? signal}`,
    );
  }

  #getProcess(box: layouts.SoakBox): children.Child {
    const child = this.#processes.get(box.name);
    if (child === undefined) {
      throw new Error(
        `Cannot find the process of ${box.name}: it was not started or was removed`,
      );
    }
    return child;
  }

  #getDataFolder(box: layouts.SoakBox): string {
    return path.join(this.#options.folder, "data", box.name);
  }
}
