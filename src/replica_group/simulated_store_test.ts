import type * as clocks from "../clock/mod.ts";
import type * as consensus from "../consensus/mod.ts";
import * as duties from "../duty/mod.ts";
import * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as groupStateMachines from "./group_state_machine_test.ts";
import * as replicaGroups from "./replica_group.ts";
import * as disks from "./simulated_disk_test.ts";
import * as processes from "./simulated_process_test.ts";

/** Interval at which a box publishes its record, in ms. */
const PUBLISH_INTERVAL_MS = 500;
/** Name of the call that carries the record of a box. */
export const GOSSIP_METHOD = "simulated.news";

/** Options that all stores of a cluster share. */
export interface StoreOptions {
  readonly clock: clocks.Clock;
  readonly maxVoters: number;
  readonly snapshotEntries: number;
  readonly syncMs: number;
  /** Duration of the duty lease, in ms; undefined disables duties. */
  readonly leaseMs: number | undefined;
  /** Returns the connection from one box to another. */
  readonly getPeer: (from: string, to: string) => rpc.Peer;
  /** Sends the record of a box to all other boxes. */
  readonly publish: (record: fleet.BoxRecord) => void;
  /** Existing folder, which stays empty as the disk is simulated. */
  readonly dataFolder: string;
  readonly trace: (
    id: string,
    event: string,
    fields: logs.LogFields,
  ) => void;
}

/** The state of a store's process while it runs. */
interface Run {
  readonly process: processes.SimulatedProcess;
  readonly group: replicaGroups.ReplicaGroup;
  readonly duty: duties.DutyLease | undefined;
  readonly stateMachine: groupStateMachines.GroupStateMachine;
  readonly directory: fleet.BoxDirectory;
  readonly methods: ReadonlyMap<string, rpc.RpcHandler>;
  readonly startedAtMs: number;
  sequence: number;
  isLeaving: boolean;
}

/** A store box with a simulated disk and, while it runs, a process. */
export class SimulatedStore {
  readonly id: string;
  readonly disk: disks.SimulatedDisk;
  /** Offset of its wall clock, in ms; positive is ahead. */
  wallOffsetMs = 0;
  readonly #options: StoreOptions;
  #run: Run | undefined;

  constructor(id: string, options: StoreOptions) {
    this.id = id;
    this.#options = options;
    this.disk = new disks.SimulatedDisk(options.clock, options.syncMs);
  }

  getProcess(): processes.SimulatedProcess | undefined {
    return this.#run?.process;
  }

  getGroup(): replicaGroups.ReplicaGroup | undefined {
    return this.#run?.group;
  }

  getStateMachine(): groupStateMachines.GroupStateMachine | undefined {
    return this.#run?.stateMachine;
  }

  /** Whether its process runs and is not paused. */
  isActive(): boolean {
    return this.#run?.process.isPaused() === false;
  }

  start(): void {
    const run = this.#createRun();
    this.#run = run;
    void run.group.start().then(() => run.duty?.start());
    this.#runPublisher(run);
  }

  /** Kills the process; unsynced writes still reach the disk. */
  end(): void {
    this.#run?.process.end();
    this.#run = undefined;
  }

  /** Handles a message from another box. */
  receive(method: string, params: object): void {
    this.#run?.methods.get(method)?.(params as never);
  }

  /** Announces a planned stop and transfers leadership. */
  resign(): void {
    if (this.#run === undefined) return;
    this.#run.isLeaving = true;
    this.#publish(this.#run);
    void this.#run.group.resign();
  }

  #createRun(): Run {
    const { clock, leaseMs } = this.#options;
    const process = new processes.SimulatedProcess(
      clock,
      () => this.wallOffsetMs,
    );
    const stateMachine = new groupStateMachines.GroupStateMachine();
    const directory = new fleet.BoxDirectory(process);
    const methods = new Map<string, rpc.RpcHandler>();
    methods.set(
      GOSSIP_METHOD,
      (record: fleet.BoxRecord) => void directory.merge(record),
    );
    const log = this.#createLog();
    const group = this.#createGroup({
      process,
      machine: stateMachine,
      directory,
      methods,
    });
    const duty = leaseMs === undefined ? undefined : new duties.DutyLease({
      clock: process,
      log,
      metrics: { countClaim: () => {} } as unknown as metrics.FleetMetrics,
      group,
      machine: stateMachine,
      directory,
      box: this.id,
      id: this.id,
      leaseMs,
    });
    const startedAtMs = process.getWallMs();
    return {
      process,
      group,
      duty,
      stateMachine,
      directory,
      methods,
      startedAtMs,
      sequence: 0,
      isLeaving: false,
    };
  }

  #createGroup({ process, machine, directory, methods }: {
    readonly process: processes.SimulatedProcess;
    readonly machine: groupStateMachines.GroupStateMachine;
    readonly directory: fleet.BoxDirectory;
    readonly methods: Map<string, rpc.RpcHandler>;
  }): replicaGroups.ReplicaGroup {
    const { maxVoters, snapshotEntries, getPeer, dataFolder } = this.#options;
    return new replicaGroups.ReplicaGroup({
      name: "stores",
      id: this.id,
      failureDomain: `of ${this.id}`,
      dataFolder: `${dataFolder}/${this.id}`,
      isFirstStart: false,
      maxVoters,
      minVoters: maxVoters,
      snapshotEntries,
      seeds: [],
      clock: process,
      log: this.#createLog(),
      metrics: new metrics.FleetMetrics(),
      stateMachine: machine as consensus.StateMachine,
      directory,
      peers: { get: (to) => getPeer(this.id, to) },
      server: {
        add: (method, handler) => void methods.set(method, handler),
      },
      canVote: (box) => box.isStore,
      listRetiring: () => machine.listRetiring(),
      onFatal: (error) => {
        throw error;
      },
    });
  }

  #createLog(): logs.Log {
    const { trace } = this.#options;
    return {
      write: (_level: string, event: string, fields: logs.LogFields) =>
        trace(this.id, event, fields),
    } as unknown as logs.Log;
  }

  #runPublisher(run: Run): void {
    this.#publish(run);
    run.process.startTimer(PUBLISH_INTERVAL_MS, () => this.#runPublisher(run));
  }

  #publish(run: Run): void {
    run.sequence += 1;
    const record: fleet.BoxRecord = {
      id: this.id,
      name: this.id,
      failureDomain: `of ${this.id}`,
      region: "region",
      peerPort: 0,
      callerAddress: undefined,
      isCore: false,
      isStore: true,
      isReady: true,
      isLeaving: run.isLeaving,
      ledTerm: 0,
      startedAtMs: run.startedAtMs,
      sequence: run.sequence,
    };
    run.directory.merge(record);
    this.#options.publish(record);
  }
}
