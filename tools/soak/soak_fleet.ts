import * as fs from "node:fs";
import * as path from "node:path";
import * as zlib from "node:zlib";
import * as children from "../deployment/child.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";
import type * as brakes from "./process_brake.ts";

const PROGRAM = "target/hoistscale.cjs";
/** The heap of a box whose process may take 400 MB. */
const NODE_OPTIONS = ["--max-old-space-size=140", "--max-semi-space-size=4"];
const INITIAL_STORES = 4;

/** What a fleet is made of. */
export interface SoakFleetOptions {
  readonly folder: string;
  /** First of the four third numbers of the addresses. */
  readonly net: number;
  readonly brake: brakes.ProcessBrake;
  /** Longest time that a new process stands still first, in ms. */
  readonly slowStartMs: number;
}

/** Boxes as processes, with the disks that outlive them. */
export class SoakFleet {
  readonly #options: SoakFleetOptions;
  readonly #running = new Map<string, children.Child>();
  readonly entries: readonly layouts.SoakBox[];
  #stores: readonly layouts.SoakBox[];
  #storeCount = INITIAL_STORES;
  /** Processes that were told to end. */
  readonly #endedByPlan = new WeakSet<children.Child>();
  readonly #failures: string[] = [];
  #starts = 0;
  #isFirstStart = true;

  constructor(options: SoakFleetOptions) {
    this.#options = options;
    this.entries = layouts.listEntryBoxes(options.net);
    this.#stores = Array.from(
      { length: INITIAL_STORES },
      (_, index) => layouts.createStore(options.net, index),
    );
    fs.mkdirSync(options.folder, { recursive: true });
  }

  listStores(): readonly layouts.SoakBox[] {
    return this.#stores;
  }

  listBoxes(): readonly layouts.SoakBox[] {
    return [...this.entries, ...this.#stores];
  }

  isRunning(box: layouts.SoakBox): boolean {
    return this.#running.get(box.name)?.getEnd() === undefined &&
      this.#running.has(box.name);
  }

  /** Ends the time in which processes take their disks for empty ones. */
  endFirstStart(): void {
    this.#isFirstStart = false;
  }

  start(box: layouts.SoakBox): void {
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
      args: [...NODE_OPTIONS, PROGRAM, "serve", "--settings", file],
      logFolder: this.#options.folder,
    });
    this.#running.set(box.name, child);
    void this.#watchEnd(child);
    void this.#beginSlowly(child);
  }

  /** Processes take unequal times to start on a machine that is busy. */
  async #beginSlowly(child: children.Child): Promise<void> {
    this.#starts += 1;
    const share = zlib.crc32(`${child.name} ${this.#starts}`) % 1_000 / 1_000;
    const delayMs = this.#options.slowStartMs * share;
    if (delayMs > 0) {
      child.kill("SIGSTOP");
      await sleeps.sleep(delayMs);
      child.kill("SIGCONT");
    }
    this.#options.brake.limit(child);
  }

  /** Names boxes whose processes ended by themselves. */
  listFailures(): readonly string[] {
    return this.#failures;
  }

  async kill(box: layouts.SoakBox): Promise<void> {
    await this.#kill([this.#get(box)]);
  }

  /** Kills all boxes at once. */
  async killAll(): Promise<void> {
    await this.#kill([...this.#running.values()]);
  }

  /** Stops a box as planned: SIGTERM, and SIGKILL after a time. */
  async stop(box: layouts.SoakBox, graceMs: number): Promise<void> {
    const child = this.#get(box);
    this.#endedByPlan.add(child);
    const timer = setTimeout(() => child.kill("SIGKILL"), graceMs);
    child.kill("SIGTERM");
    await child.ended;
    clearTimeout(timer);
  }

  /** Holds a box still, as a machine that stalls. */
  keepStill(box: layouts.SoakBox): void {
    this.#options.brake.release(this.#get(box));
    this.#get(box).kill("SIGSTOP");
  }

  resume(box: layouts.SoakBox): void {
    this.#get(box).kill("SIGCONT");
    this.#options.brake.limit(this.#get(box));
  }

  /** Loses the disk of a box that does not run. */
  removeDisk(box: layouts.SoakBox): void {
    fs.rmSync(this.#getDataFolder(box), { recursive: true, force: true });
  }

  /** Takes a store box away for good, with its disk. */
  async removeStore(box: layouts.SoakBox): Promise<void> {
    await this.kill(box);
    this.removeDisk(box);
    this.#running.delete(box.name);
    this.#stores = this.#stores.filter((store) => store !== box);
  }

  /** Adds an empty store box in the failure domain of another one. */
  addStore(like: layouts.SoakBox): layouts.SoakBox {
    for (;;) {
      const store = layouts.createStore(this.#options.net, this.#storeCount);
      this.#storeCount += 1;
      if (store.failureDomain !== like.failureDomain) continue;
      this.#stores = [...this.#stores, store];
      this.start(store);
      return store;
    }
  }

  #kill(ending: readonly children.Child[]): Promise<void> {
    for (const child of ending) this.#endedByPlan.add(child);
    return children.stopChildren(ending);
  }

  async #watchEnd(child: children.Child): Promise<void> {
    const { code, signal } = await child.ended;
    if (this.#endedByPlan.has(child)) return;
    this.#failures.push(`${child.name}: ended by itself, ${code ?? signal}`);
  }

  #get(box: layouts.SoakBox): children.Child {
    const child = this.#running.get(box.name);
    if (child === undefined) {
      throw new Error(`Cannot find the process of ${box.name}: none runs`);
    }
    return child;
  }

  #getDataFolder(box: layouts.SoakBox): string {
    return path.join(this.#options.folder, "data", box.name);
  }
}
