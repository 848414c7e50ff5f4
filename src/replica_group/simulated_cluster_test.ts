import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as clocks from "../clock/mod.ts";
import type * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as storage from "../storage/mod.ts";
import type * as electionChecks from "./election_check_test.ts";
import * as simulatedStores from "./simulated_store_test.ts";

/** What a deployment of stores is like. */
export interface ClusterOptions {
  /** Ids of the boxes; the first ones, as many as are wanted, found the set. */
  readonly ids: readonly string[];
  readonly maxVoters: number;
  readonly syncMs: number;
  /** Processor time for an entry that is sent or taken, in ms. */
  readonly entryMs: number;
  readonly snapshotEntries: number;
  /** Commands proposed in a second, 1,000 at most. */
  readonly commandsPerS: number;
  /** Lease of the duties, in ms; none are held unless given. */
  readonly leaseMs: number | undefined;
}

/** A line of the log of a store. */
export interface LogRecord {
  readonly atMs: number;
  readonly id: string;
  readonly event: string;
  readonly fields: logs.LogFields;
}

/** Way of a message, in ms, unless a test has it longer. */
const LATENCY_MS = 1;
/** Way of what boxes tell of themselves, through a relay, in ms. */
const GOSSIP_LATENCY_MS = 200;
/** Processor time for a message, in ms. */
const MESSAGE_COST_MS = 0.05;
const COMMIT_TIMEOUT_MS = 900;
const MS_PER_SECOND = 1_000;
/** Time in which each process has its share of a processor once, in ms. */
const TIME_SLICE_MS = 100;
/** Time by which the turns of two processes lie apart, in ms. */
const SLICE_OFFSET_MS = 31;
const LOAD_SEED = 7;
/** Turns of the event loop until all promises that can settle have settled. */
const EVENT_LOOP_TURNS = 4;

/**
 * Stores with real replica groups on a fake clock, fake disks and a fake
 * network. Nothing but what a test does to it changes its course.
 */
export class SimulatedCluster {
  readonly clock = new clocks.FakeClock(1_000_000);
  readonly logRecords: LogRecord[] = [];
  commandsPerS: number;
  entryMs: number;
  latencyMs = LATENCY_MS;
  /** Share of a processor that each process gets, in turns. */
  processorShare = 1;
  readonly #options: ClusterOptions;
  readonly #stores = new Map<string, simulatedStores.SimulatedStore>();
  readonly #cutLinks = new Set<string>();
  readonly #folder: string;
  readonly #openRealLog = storage.DurableLog.open;
  #syncMs: number;
  readonly #random = generator.xoroshiro128plus(LOAD_SEED);
  #committed = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.#syncMs = options.syncMs;
    this.commandsPerS = options.commandsPerS;
    this.entryMs = options.entryMs;
    this.#folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-sim-"));
    storage.DurableLog.open = (folder, owner) => this.#openLog(folder, owner);
    const initialVoters = options.ids.slice(0, options.maxVoters);
    for (const id of options.ids) this.addBox(id);
    for (const id of initialVoters) this.get(id).disk.initialize(initialVoters);
  }

  /** Puts the real disks back. */
  close(): void {
    storage.DurableLog.open = this.#openRealLog;
    for (const store of this.#stores.values()) store.end();
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Time since the beginning, in ms. */
  getNowMs(): number {
    return this.clock.getMonotonicMs() - 1_000_000;
  }

  /** Ids of the boxes that are not gone for good. */
  listIds(): readonly string[] {
    return [...this.#stores.keys()];
  }

  get(id: string): simulatedStores.SimulatedStore {
    const store = this.#stores.get(id);
    if (store === undefined) throw new Error(`no box ${id}`);
    return store;
  }

  /** Adds a box with an empty disk, which does not run yet. */
  addBox(id: string): void {
    const store = new simulatedStores.SimulatedStore(id, {
      ...this.#options,
      syncMs: this.#syncMs,
      clock: this.clock,
      dataFolder: this.#folder,
      getPeer: (from, to) => this.#createPeer(from, to),
      publish: (record) => this.#publish(record),
      trace: (from, event, fields) =>
        this.logRecords.push({
          atMs: this.getNowMs(),
          id: from,
          event,
          fields,
        }),
    });
    this.#stores.set(id, store);
  }

  /** Takes a box away for good, with its disk. */
  removeBox(id: string): void {
    this.get(id).end();
    this.#stores.delete(id);
  }

  /** Starts boxes that run no process, all after the same time. */
  start(ids: readonly string[], afterMs = 0): void {
    for (const id of ids) {
      this.clock.startTimer(afterMs, () => {
        const store = this.#stores.get(id);
        if (store?.getProcess() === undefined) store?.start();
      });
    }
  }

  /** Takes power from boxes; writes that were not synced are lost. */
  cutPower(ids: readonly string[], keptWrites = 0): void {
    for (const id of ids) {
      const store = this.get(id);
      store.end();
      store.disk.cutPower(keptWrites);
    }
  }

  /** Takes power and disk from a box. */
  cutPowerAndWipe(id: string): void {
    this.cutPower([id]);
    this.get(id).disk.wipe();
  }

  /** Has a sync take so long on all disks, in ms. */
  setSyncMs(syncMs: number): void {
    this.#syncMs = syncMs;
    for (const store of this.#stores.values()) store.disk.syncMs = syncMs;
  }

  /** Cuts the way from one box to another. */
  cutLink(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`);
  }

  /** Cuts a box from all others, both ways. */
  cutOff(id: string): void {
    for (const other of this.listIds()) {
      this.cutLink(id, other);
      this.cutLink(other, id);
    }
  }

  /** Ends all cuts. */
  restoreLinks(): void {
    this.#cutLinks.clear();
  }

  /** Id of the box that leads with authority, if one does. */
  findLeader(): string | undefined {
    return this.listIds().find((id) => {
      const store = this.get(id);
      return store.isActive() && store.getGroup()?.hasAuthority() === true;
    });
  }

  /** Commands that were committed. */
  countCommitted(): number {
    return this.#committed;
  }

  /** What the disks hold. */
  getDisks(): electionChecks.Disks {
    return new Map(
      this.listIds().map((id) => [id, this.get(id).disk.getSummary()]),
    );
  }

  /** Lets time pass, until something holds where it is given. */
  async run(ms: number, isDone: () => boolean = () => false): Promise<boolean> {
    for (let remainingMs = ms; remainingMs > 0; remainingMs -= 1) {
      if (isDone()) return true;
      this.clock.advance(1);
      this.#throttleProcesses();
      this.#proposeLoad();
      for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
    return isDone();
  }

  /** Takes the processor from each process for a part of each turn. */
  #throttleProcesses(): void {
    if (this.processorShare >= 1) return;
    [...this.#stores.keys()].forEach((id, index) => {
      const atMs = this.getNowMs() + index * SLICE_OFFSET_MS;
      if (atMs % TIME_SLICE_MS !== 0) return;
      this.get(id).getProcess()?.useProcessor(
        TIME_SLICE_MS * (1 - this.processorShare),
      );
    });
  }

  /** Proposes at random times, as a steady beat may keep step with others. */
  #proposeLoad(): void {
    const draw = uniform.uniformInt(this.#random, 0, MS_PER_SECOND - 1);
    if (draw >= this.commandsPerS) return;
    const leader = this.findLeader();
    if (leader === undefined) return;
    const group = this.get(leader).getGroup();
    void group?.propose({ kind: "load" }, COMMIT_TIMEOUT_MS).then((result) => {
      if (result.kind === "ok") this.#committed += 1;
    });
  }

  #openLog(folder: string, owner: string): Promise<storage.OpenedLog> {
    const store = folder.startsWith(this.#folder)
      ? this.#stores.get(owner)
      : undefined;
    const process = store?.getProcess();
    if (store === undefined || process === undefined) {
      return this.#openRealLog(folder, owner);
    }
    return Promise.resolve(store.disk.open(process));
  }

  #publish(record: fleet.BoxRecord): void {
    for (const to of this.listIds()) {
      if (to === record.id) continue;
      this.clock.startTimer(
        GOSSIP_LATENCY_MS,
        () =>
          this.#deliverMessage(record.id, to, {
            method: simulatedStores.GOSSIP_METHOD,
            params: record,
            costMs: MESSAGE_COST_MS,
          }),
      );
    }
  }

  #createPeer(from: string, to: string): rpc.Peer {
    return {
      notify: (method, params) => this.#sendMessage(from, to, method, params),
      call: () => Promise.reject(new Error("no calls here")),
    };
  }

  #sendMessage(from: string, to: string, method: string, params: object): void {
    const costMs = MESSAGE_COST_MS + this.entryMs * countEntries(params);
    this.#stores.get(from)?.getProcess()?.useProcessor(costMs);
    const target = this.#stores.get(to)?.getProcess();
    this.clock.startTimer(this.latencyMs, () => {
      // A connection ends with the process that it was made to.
      if (this.#stores.get(to)?.getProcess() !== target) return;
      this.#deliverMessage(from, to, { method, params, costMs });
    });
  }

  #deliverMessage(from: string, to: string, call: {
    readonly method: string;
    readonly params: object;
    readonly costMs: number;
  }): void {
    if (this.#cutLinks.has(`${from}>${to}`)) return;
    const store = this.#stores.get(to);
    const process = store?.getProcess();
    process?.addTask(
      call.costMs,
      () => store?.receive(call.method, call.params),
    );
  }
}

function countEntries(params: object): number {
  const { message } = params as { readonly message?: consensus.DriverMessage };
  if (message?.kind === "appendRequest") return message.entries.length;
  return message?.kind === "snapshotPart" ? message.values.length : 0;
}
