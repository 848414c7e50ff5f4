import * as capacity from "../capacity/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as csp from "../csp/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as duties from "../duty/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as weightOrders from "../weight_orders/mod.ts";
import * as usages from "../usage/mod.ts";
import * as boxParts from "./box_parts.ts";
import * as dutySettings from "./_duty_settings.ts";

/** Entries after which the stores' log is cut; bodies make it large. */
const STORE_SNAPSHOT_ENTRIES = 4_096;

/** Between two looks for submissions that nobody asks for any more, in ms. */
const FORGET_MS = 5_000;

/** Keeps submissions, and runs them while it leads the stores. */
export class StoreBox {
  readonly #group: replicaGroups.ReplicaGroup;
  readonly #dispatcher: dispatch.Dispatcher;
  readonly #duty: duties.DutyLease;
  readonly #usage: usages.UsageReporter | undefined;
  readonly #capacity: capacity.Autoscaler | undefined;
  readonly #orders: weightOrders.WeightOrderScheduler;
  readonly #knownEngines: weightOrders.EngineTracker;
  readonly #crashKeeper: crashGuards.CrashReplicator;
  readonly #parts: boxParts.BoxParts;
  readonly #machine: submissions.SubmissionMachine;
  readonly #ages: submissions.SubmissionAges;
  #isStopped = false;

  /** @param dataFolder Folder on the box's disk. */
  constructor(parts: boxParts.BoxParts, dataFolder: string) {
    this.#parts = parts;
    this.#ages = new submissions.SubmissionAges(parts.clock);
    const { settings, clock } = parts;
    const changed = new csp.Signal();
    const machine = new submissions.SubmissionMachine(() => {
      changed.notify();
      this.#dispatcher.wake();
    });
    const wanted = 2 * settings.lossesToBear + 1;
    const group = new replicaGroups.ReplicaGroup({
      ...parts,
      name: "stores",
      id: settings.box.address,
      failureDomain: settings.box.failureDomain,
      dataFolder,
      isFirstStart: settings.isFirstStart,
      wanted,
      least: wanted,
      snapshotEntries: STORE_SNAPSHOT_ENTRIES,
      seeds: settings.seeds.map((seed) => seed.address),
      machine,
      canVote: boxParts.isStoreBox,
      listRetiring: () => machine.listRetiring(),
    });
    this.#group = group;
    this.#machine = machine;
    const engines = new dispatch.EngineTable(clock);
    const shared = { ...parts, group, machine, engines };
    this.#dispatcher = new dispatch.Dispatcher(shared);
    this.#duty = new duties.DutyLease({
      ...shared,
      box: settings.box.name,
      id: settings.box.address,
      leaseMs: settings.bounds.orderLeaseMs,
    });
    this.#usage = this.#createUsageReporter();
    this.#capacity = this.#createCapacityOrders();
    this.#orders = new weightOrders.WeightOrderScheduler({
      ...shared,
      duty: this.#duty,
      onLoading: (engine, model) => this.#dispatcher.moveRuns(engine, model),
      onLoaded: () => this.#dispatcher.wake(),
    });
    this.#knownEngines = new weightOrders.EngineTracker({
      ...shared,
      onDiscovered: () => this.#dispatcher.wake(),
    });
    this.#crashKeeper = this.#createCrashKeeper();
    this.#createSubmissionService(changed, wanted);
  }

  /** Has the submissions answered for, while this store leads or may read. */
  #createSubmissionService(changed: csp.Signal, wanted: number): void {
    const { settings, directory } = this.#parts;
    const machine = this.#machine;
    const barrier = new replicaGroups.ReadBarrier({
      ...this.#parts,
      name: "stores",
      replica: this.#group,
      changed,
    });
    new submissions.SubmissionService({
      ...this.#parts,
      group: this.#group,
      machine,
      id: settings.box.address,
      barrier,
      getFailureDomain: (id) => directory.get(id)?.failureDomain,
      changed,
      wantedVoters: wanted,
      listStores: () =>
        directory.listAlive()
          .filter((box) =>
            box.isStore && !box.isLeaving &&
            !machine.listRetiring().includes(box.id)
          )
          .map((box) => box.id),
    });
  }

  #createCrashKeeper(): crashGuards.CrashReplicator {
    const { link, crashTable, crashGuard } = this.#parts;
    const shared = {
      ...this.#parts,
      group: this.#group,
      machine: this.#machine,
      table: crashTable,
    };
    return new crashGuards.CrashReplicator({
      ...shared,
      guard: crashGuard,
      grants: new crashGuards.GrantService(shared),
      publish: (record) => link.publishCrash(record),
    });
  }

  #createUsageReporter(): usages.UsageReporter | undefined {
    const { settings } = this.#parts;
    const times = dutySettings.getUsageTimes(settings);
    const endpoint = settings.infrastructure?.address;
    if (times === undefined || endpoint === undefined) return undefined;
    return new usages.UsageReporter({
      ...this.#parts,
      group: this.#group,
      duty: this.#duty,
      book: this.#machine.getUsage(),
      times,
      endpoint,
    });
  }

  #createCapacityOrders(): capacity.Autoscaler | undefined {
    const { settings } = this.#parts;
    const policy = dutySettings.getCapacityPolicy(settings);
    const endpoint = settings.infrastructure?.address;
    if (policy === undefined || endpoint === undefined) return undefined;
    return new capacity.Autoscaler({
      ...this.#parts,
      group: this.#group,
      duty: this.#duty,
      state: this.#machine.getCapacity(),
      policy,
      endpoint,
      countNeededSlots: (service, leastMs) =>
        this.#dispatcher.computeRequiredSlots(service, leastMs),
    });
  }

  /** Joins the stores; waits for the founding. */
  async join(): Promise<void> {
    await this.#group.start();
    this.#dispatcher.start();
    this.#duty.start();
    this.#usage?.start();
    this.#capacity?.start();
    this.#orders.start();
    this.#knownEngines.start();
    this.#crashKeeper.start();
    this.#runForget();
  }

  /** Term in which this box leads the stores; 0 where it does not. */
  getLeadTerm(): number {
    return this.#group.getLeadTerm();
  }

  /** Hands leadership over before a planned stop. */
  async setDraining(): Promise<void> {
    await this.#group.resign();
  }

  #runForget(): void {
    if (this.#isStopped) return;
    const { clock, settings } = this.#parts;
    this.#ages.observe(this.#machine.listAll());
    const ids = submissions.findForgettable(this.#machine.listAll(), {
      nowMs: clock.getWallMs(),
      resultsKeepMs: settings.bounds.resultsKeepMs,
      getKnownMs: (id) => this.#ages.getAgeMs(id),
    });
    if (ids.length > 0 && this.#group.hasAuthority()) {
      const command: submissions.SubmissionCommand = {
        kind: "forgetSubmissions",
        ids,
      };
      void this.#group.propose(command, FORGET_MS);
    }
    clock.startTimer(FORGET_MS, () => this.#runForget());
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#dispatcher.stop();
    this.#duty.stop();
    this.#usage?.stop();
    this.#capacity?.stop();
    this.#orders.stop();
    this.#knownEngines.stop();
    this.#crashKeeper.stop();
    await this.#group.stop();
  }
}
