import * as capacity from "../capacity/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as csp from "../csp/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as duties from "../duty/mod.ts";
import * as remoteRuns from "../remote_run/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as weightOrders from "../weight_orders/mod.ts";
import * as usages from "../usage/mod.ts";
import * as boxComponents from "./box_components.ts";
import * as dutySettings from "./_duty_settings.ts";
import * as storeTimeouts from "./_store_timeouts.ts";

/** Log entries between snapshots of the store group. */
const STORE_SNAPSHOT_ENTRIES = 4_096;

/**
 * Interval between removals of expired submissions, and timeout of each
 * proposal, in ms.
 */
const CLEANUP_INTERVAL_MS = 5_000;

/**
 * Hosts a replica of the submissions. While it leads the store group, it runs
 * them and carries out the fleet's duties: weight orders, autoscaling, usage
 * reports and crash records.
 */
export class StoreBox {
  readonly #group: replicaGroups.ReplicaGroup;
  readonly #dispatcher: dispatch.Dispatcher;
  readonly #runWorker: remoteRuns.RunWorker;
  readonly #duty: duties.DutyLease;
  readonly #usage: usages.UsageReporter | undefined;
  readonly #autoscaler: capacity.Autoscaler | undefined;
  readonly #weightOrders: weightOrders.WeightOrderScheduler;
  readonly #engineTracker: weightOrders.EngineTracker;
  readonly #crashReplicator: crashGuards.CrashReplicator;
  readonly #components: boxComponents.BoxComponents;
  readonly #stateMachine: submissions.SubmissionStateMachine;
  readonly #ages: submissions.SubmissionAges;
  #isStopped = false;

  /** @param dataFolder Folder of the replica's log and snapshots. */
  constructor(components: boxComponents.BoxComponents, dataFolder: string) {
    this.#components = components;
    this.#ages = new submissions.SubmissionAges(components.clock);
    const { settings, clock } = components;
    const changed = new csp.Signal();
    const stateMachine = new submissions.SubmissionStateMachine(() => {
      changed.notify();
      this.#dispatcher.wake();
    });
    const voterCount = 2 * settings.lossesToBear + 1;
    const group = new replicaGroups.ReplicaGroup({
      ...components,
      name: storeTimeouts.STORES_GROUP,
      id: settings.box.address,
      failureDomain: settings.box.failureDomain,
      dataFolder,
      isFirstStart: settings.isFirstStart,
      maxVoters: voterCount,
      minVoters: voterCount,
      snapshotEntries: STORE_SNAPSHOT_ENTRIES,
      seeds: settings.seeds.map((seed) => seed.address),
      stateMachine,
      canVote: boxComponents.isStoreBox,
      listRetiring: () => stateMachine.listRetiring(),
      onLogRead: (commands) => this.#crashReplicator.mergeUncommitted(commands),
    });
    this.#group = group;
    this.#stateMachine = stateMachine;
    const engines = new dispatch.EngineTable(clock);
    const shared = { ...components, group, machine: stateMachine, engines };
    const id = settings.box.address;
    const runner = new remoteRuns.RemoteRunner({ ...shared, id });
    this.#runWorker = new remoteRuns.RunWorker({
      ...shared,
      id,
      stateChanged: changed,
    });
    this.#dispatcher = new dispatch.Dispatcher({
      ...shared,
      runItem: (options) => runner.run(options),
    });
    this.#duty = new duties.DutyLease({
      ...shared,
      box: settings.box.name,
      id: settings.box.address,
      leaseMs: settings.bounds.orderLeaseMs,
    });
    this.#usage = this.#createUsageReporter();
    this.#autoscaler = this.#createAutoscaler();
    this.#weightOrders = new weightOrders.WeightOrderScheduler({
      ...shared,
      duty: this.#duty,
      onLoading: (engine, model) => this.#dispatcher.moveRuns(engine, model),
      onLoaded: () => this.#dispatcher.wake(),
    });
    this.#engineTracker = new weightOrders.EngineTracker({
      ...shared,
      onDiscovered: () => this.#dispatcher.wake(),
    });
    this.#crashReplicator = this.#createCrashReplicator(dataFolder);
    this.#createSubmissionService(changed, voterCount);
  }

  /** Registers the RPC methods that read and change submissions. */
  #createSubmissionService(changed: csp.Signal, wantedVoters: number): void {
    const { settings, directory } = this.#components;
    const stateMachine = this.#stateMachine;
    const barrier = new replicaGroups.ReadBarrier({
      ...this.#components,
      name: storeTimeouts.STORES_GROUP,
      replica: this.#group,
      changed,
    });
    new submissions.SubmissionService({
      ...this.#components,
      group: this.#group,
      stateMachine,
      id: settings.box.address,
      barrier,
      getFailureDomain: (id) => directory.get(id)?.failureDomain,
      stateChanged: changed,
      wantedVoters,
      listStoreIds: () =>
        directory.listAlive()
          .filter((box) =>
            box.isStore && !box.isLeaving &&
            !stateMachine.listRetiring().includes(box.id)
          )
          .map((box) => box.id),
    });
  }

  #createCrashReplicator(dataFolder: string): crashGuards.CrashReplicator {
    const { link, log, crashTable, crashGuard } = this.#components;
    const shared = {
      ...this.#components,
      group: this.#group,
      machine: this.#stateMachine,
      table: crashTable,
    };
    return new crashGuards.CrashReplicator({
      ...shared,
      guard: crashGuard,
      recordFile: new crashGuards.RecordFile(dataFolder, log),
      grants: new crashGuards.GrantService(shared),
      publish: (record) => link.publishCrash(record),
    });
  }

  #createUsageReporter(): usages.UsageReporter | undefined {
    const { settings } = this.#components;
    const times = dutySettings.getUsageTimings(settings);
    const endpoint = settings.infrastructure?.address;
    if (times === undefined || endpoint === undefined) return undefined;
    return new usages.UsageReporter({
      ...this.#components,
      group: this.#group,
      duty: this.#duty,
      state: this.#stateMachine.getUsage(),
      times,
      endpoint,
    });
  }

  #createAutoscaler(): capacity.Autoscaler | undefined {
    const { settings } = this.#components;
    const policy = dutySettings.getCapacityPolicy(settings);
    const endpoint = settings.infrastructure?.address;
    if (policy === undefined || endpoint === undefined) return undefined;
    return new capacity.Autoscaler({
      ...this.#components,
      group: this.#group,
      duty: this.#duty,
      state: this.#stateMachine.getCapacity(),
      policy,
      endpoint,
      countNeededSlots: (service, leastMs) =>
        this.#dispatcher.computeRequiredSlots(service, leastMs),
    });
  }

  /** Starts the replica and, after the group's bootstrap, the services. */
  async join(): Promise<void> {
    await this.#group.start();
    this.#dispatcher.start();
    this.#duty.start();
    this.#usage?.start();
    this.#autoscaler?.start();
    this.#weightOrders.start();
    this.#engineTracker.start();
    this.#crashReplicator.start();
    this.#removeExpired();
  }

  /** Returns the term in which this box leads the stores, or 0. */
  getLeadTerm(): number {
    return this.#group.getLeadTerm();
  }

  /** Transfers the leadership to another store before a shutdown. */
  async setDraining(): Promise<void> {
    this.#runWorker.stop();
    await this.#group.resign();
  }

  /** Proposes the removal of expired submissions; runs periodically. */
  #removeExpired(): void {
    if (this.#isStopped) return;
    const { clock, settings } = this.#components;
    this.#ages.observe(this.#stateMachine.listAll());
    const ids = submissions.findExpiredSubmissions(
      this.#stateMachine.listAll(),
      {
        nowMs: clock.getWallMs(),
        resultRetentionMs: settings.bounds.resultsKeepMs,
        getAgeMs: (id) => this.#ages.getAgeMs(id),
      },
    );
    if (ids.length > 0 && this.#group.hasAuthority()) {
      const command: submissions.SubmissionCommand = {
        kind: "forgetSubmissions",
        ids,
      };
      void this.#group.propose(command, CLEANUP_INTERVAL_MS);
    }
    clock.startTimer(CLEANUP_INTERVAL_MS, () => this.#removeExpired());
  }

  /** Stops the services and then the replica. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#dispatcher.stop();
    this.#runWorker.stop();
    this.#duty.stop();
    this.#usage?.stop();
    this.#autoscaler?.stop();
    this.#weightOrders.stop();
    this.#engineTracker.stop();
    await this.#crashReplicator.stop();
    await this.#group.stop();
  }
}
