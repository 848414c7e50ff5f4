import * as fs from "node:fs";
import * as path from "node:path";
import * as children from "../deployment/child.ts";
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
}

/** Boxes as processes, with the disks that outlive them. */
export class SoakFleet {
  readonly #options: SoakFleetOptions;
  readonly #running = new Map<string, children.Child>();
  readonly entries: readonly layouts.SoakBox[];
  #stores: readonly layouts.SoakBox[];
  #storeCount = INITIAL_STORES;
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
    this.#options.brake.limit(child);
  }

  async kill(box: layouts.SoakBox): Promise<void> {
    const child = this.#get(box);
    child.kill("SIGKILL");
    await child.ended;
  }

  /** Kills all boxes at once. */
  async killAll(): Promise<void> {
    await children.stopChildren([...this.#running.values()]);
  }

  /** Stops a box as planned: SIGTERM, and SIGKILL after a time. */
  async stop(box: layouts.SoakBox, graceMs: number): Promise<void> {
    const child = this.#get(box);
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
