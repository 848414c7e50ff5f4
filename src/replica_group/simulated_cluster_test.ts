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
import type * as groupStateMachines from "./group_state_machine_test.ts";
import * as simulatedStores from "./simulated_store_test.ts";

/** Size, speed and load of a simulated cluster. */
export interface ClusterOptions {
  /** Ids of the boxes; the first `maxVoters` of them are the initial voters. */
  readonly ids: readonly string[];
  readonly maxVoters: number;
  readonly syncMs: number;
  /** Processor time to send or receive one log entry, in ms. */
  readonly entryMs: number;
  readonly snapshotEntries: number;
  /** Mean rate of proposed commands, at most 1,000 per second. */
  readonly commandsPerS: number;
  /** Size of the payload of a proposed command, in bytes. */
  readonly commandBytes?: number;
  /** Duration of the duty lease, in ms; undefined disables duties. */
  readonly leaseMs: number | undefined;
}

/** A record that a store logged. */
export interface LogRecord {
  readonly atMs: number;
  readonly id: string;
  readonly event: string;
  readonly fields: logs.LogFields;
}

/** Default one-way network latency, in ms. */
const LATENCY_MS = 1;
/** Latency of gossip through a relay, in ms. */
const GOSSIP_LATENCY_MS = 200;
/** Processor time to send or receive a message, in ms. */
const MESSAGE_COST_MS = 0.05;
const COMMIT_TIMEOUT_MS = 900;
const MS_PER_SECOND = 1_000;
/** Scheduling period of a throttled processor, in ms. */
const TIME_SLICE_MS = 100;
/** Offset between the scheduling periods of two processes, in ms. */
const SLICE_OFFSET_MS = 31;
const LOAD_SEED = 7;
/** Event loop turns per simulated ms, enough to run all pending microtasks. */
const EVENT_LOOP_TURNS = 4;

/**
 * Stores that run real replica groups on a fake clock, fake disks and a fake
 * network. Runs are deterministic: the same calls give the same result.
 */
export class SimulatedCluster {
  readonly clock = new clocks.FakeClock(1_000_000);
  readonly logRecords: LogRecord[] = [];
  commandsPerS: number;
  entryMs: number;
  latencyMs = LATENCY_MS;
  /** Fraction of a processor that each process gets, from 0 to 1. */
  processorShare = 1;
  readonly #options: ClusterOptions;
  readonly #stores = new Map<string, simulatedStores.SimulatedStore>();
  readonly #cutLinks = new Set<string>();
  readonly #folder: string;
  readonly #openRealLog = storage.DurableLog.open;
  #syncMs: number;
  readonly #random = generator.xoroshiro128plus(LOAD_SEED);
  /** The proposed command, shared by all entries to save memory. */
  readonly #command: groupStateMachines.GroupCommand;
  #committed = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.#syncMs = options.syncMs;
    this.commandsPerS = options.commandsPerS;
    this.entryMs = options.entryMs;
    const payload = "x".repeat(options.commandBytes ?? 0);
    this.#command = { kind: "load", payload };
    this.#folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-sim-"));
    storage.DurableLog.open = (folder, owner) => this.#openLog(folder, owner);
    const initialVoters = options.ids.slice(0, options.maxVoters);
    for (const id of options.ids) this.addBox(id);
    for (const id of initialVoters) this.get(id).disk.initialize(initialVoters);
  }

  /** Stops all stores and restores the real `DurableLog.open`. */
  close(): void {
    storage.DurableLog.open = this.#openRealLog;
    for (const store of this.#stores.values()) store.end();
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Time since the start of the simulation, in ms. */
  getNowMs(): number {
    return this.clock.getMonotonicMs() - 1_000_000;
  }

  /** Ids of the boxes, without those that were removed. */
  listIds(): readonly string[] {
    return [...this.#stores.keys()];
  }

  get(id: string): simulatedStores.SimulatedStore {
    const store = this.#stores.get(id);
    if (store === undefined) throw new Error(`box "${id}" does not exist`);
    return store;
  }

  /** Adds a box with an empty disk, without starting its process. */
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

  /** Removes a box and its disk permanently. */
  removeBox(id: string): void {
    this.get(id).end();
    this.#stores.delete(id);
  }

  /** Starts the given boxes after a delay; running ones are left alone. */
  start(ids: readonly string[], afterMs = 0): void {
    for (const id of ids) {
      this.clock.startTimer(afterMs, () => {
        const store = this.#stores.get(id);
        if (store?.getProcess() === undefined) store?.start();
      });
    }
  }

  /**
   * Cuts the power of boxes. Unsynced writes are lost, except for the oldest
   * `keptWrites` of each box.
   */
  cutPower(ids: readonly string[], keptWrites = 0): void {
    for (const id of ids) {
      const store = this.get(id);
      store.end();
      store.disk.cutPower(keptWrites);
    }
  }

  /** Cuts the power of a box and erases its disk. */
  cutPowerAndWipe(id: string): void {
    this.cutPower([id]);
    this.get(id).disk.wipe();
  }

  /** Sets the duration of a sync on all disks, in ms. */
  setSyncMs(syncMs: number): void {
    this.#syncMs = syncMs;
    for (const store of this.#stores.values()) store.disk.syncMs = syncMs;
  }

  /** Drops messages from one box to another. */
  cutLink(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`);
  }

  /** Drops all messages between a box and the others. */
  cutOff(id: string): void {
    for (const other of this.listIds()) {
      this.cutLink(id, other);
      this.cutLink(other, id);
    }
  }

  /** Delivers messages on all links again. */
  restoreLinks(): void {
    this.#cutLinks.clear();
  }

  /** Ids of the active leaders with a valid lease; more than one is a fault. */
  listLeaders(): readonly string[] {
    return this.listIds().filter((id) => {
      const store = this.get(id);
      return store.isActive() && store.getGroup()?.hasAuthority() === true;
    });
  }

  /** Id of the active leader with a valid lease, if there is one. */
  findLeader(): string | undefined {
    return this.listLeaders()[0];
  }

  countCommitted(): number {
    return this.#committed;
  }

  /** Summaries of what is synced on each disk. */
  getDisks(): electionChecks.Disks {
    return new Map(
      this.listIds().map((id) => [id, this.get(id).disk.getSummary()]),
    );
  }

  /**
   * Advances the clock by 1 ms at a time.
   *
   * @param ms Longest time to run, in ms.
   * @param isDone Ends the run early once it returns true.
   * @returns Whether `isDone` returned true.
   */
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

  /** Keeps each process off the processor for a part of each period. */
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

  /** Proposes at random times, so that load does not align with other timers. */
  #proposeLoad(): void {
    const draw = uniform.uniformInt(this.#random, 0, MS_PER_SECOND - 1);
    if (draw >= this.commandsPerS) return;
    const leader = this.findLeader();
    if (leader === undefined) return;
    const group = this.get(leader).getGroup();
    void group?.propose(this.#command, COMMIT_TIMEOUT_MS).then((result) => {
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
      call: () =>
        Promise.reject(new Error("the simulated network supports no calls")),
    };
  }

  #sendMessage(from: string, to: string, method: string, params: object): void {
    const costMs = MESSAGE_COST_MS + this.entryMs * countEntries(params);
    this.#stores.get(from)?.getProcess()?.useProcessor(costMs);
    const target = this.#stores.get(to)?.getProcess();
    this.clock.startTimer(this.latencyMs, () => {
      // A message is lost if the receiving process has ended or restarted.
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
