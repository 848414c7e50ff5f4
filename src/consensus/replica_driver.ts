import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as results from "../results/mod.ts";
import type * as storage from "../storage/mod.ts";
import * as appliedMachines from "./_log_applier.ts";
import * as noticeTellers from "./_notice_reporter.ts";
import * as driverEvents from "./_driver_event.ts";
import * as durableWriters from "./_durable_writer.ts";
import * as effectPersisters from "./_effect_persister.ts";
import * as groupGates from "./_group_gate.ts";
import * as logCutters from "./_log_compactor.ts";
import * as openReplicas from "./_open_replica.ts";
import * as proposalTables from "./_proposals.ts";
import * as tickTimers from "./_tick_timer.ts";
import * as leaderLeases from "./leader_lease.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaOptions from "./replica_options.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";
import * as snapshotTransfers from "./_snapshot_transfer.ts";
import * as stepReplica from "./step_replica.ts";

const INBOX_CAPACITY = 8_192;
/** Interval between checks for a leader, in ms. */
const LEADER_CHECK_MS = 1_000;

/** Runs a replica: executes its effects and passes it messages and ticks. */
export class ReplicaDriver {
  readonly #options: replicaOptions.ReplicaDriverOptions;
  readonly #writer: durableWriters.DurableWriter;
  readonly #inbox = new csp.Channel<driverEvents.DriverEvent>(INBOX_CAPACITY);
  readonly #proposals = new proposalTables.ProposalTable();
  readonly #timer: tickTimers.TickTimer;
  #state: replicaStates.ReplicaState;
  readonly #applied: appliedMachines.LogApplier;
  #isStopped = false;
  #running: Promise<void> = Promise.resolve();
  readonly #snapshots: snapshotTransfers.SnapshotExchange;
  readonly #compactor: logCutters.LogCompactor;
  readonly #persister: effectPersisters.EffectPersister;
  readonly #notices: noticeTellers.NoticeReporter;
  readonly #suspensions: clocks.SuspensionDetector;
  readonly #groupGate: groupGates.GroupGate;

  private constructor(
    options: replicaOptions.ReplicaDriverOptions,
    log: storage.DurableLog,
    state: replicaStates.ReplicaState,
  ) {
    this.#options = options;
    this.#groupGate = new groupGates.GroupGate(options.onNotice);
    this.#suspensions = new clocks.SuspensionDetector(options.clock);
    this.#writer = new durableWriters.DurableWriter(log, options.clock);
    this.#state = state;
    this.#compactor = new logCutters.LogCompactor({
      ...options,
      writer: this.#writer,
      snapshotIndex: state.log.snapshotIndex,
    });
    this.#persister = new effectPersisters.EffectPersister({
      ...options,
      writer: this.#writer,
      compactor: this.#compactor,
    });
    this.#snapshots = new snapshotTransfers.SnapshotExchange({
      clock: options.clock,
      send: options.send,
      createSnapshot: () => this.#applied.createSnapshot(this.#state.log),
      onNotice: options.onNotice,
      onConfirmed: (event) => this.#enqueue(event),
    });
    this.#timer = new tickTimers.TickTimer(options.clock, () => {
      this.#enqueue({ kind: "tick" });
    });
    this.#applied = new appliedMachines.LogApplier(
      options.stateMachine,
      this.#proposals,
      state.log,
    );
    this.#notices = new noticeTellers.NoticeReporter(options, state);
  }

  /**
   * Opens the data folder and starts the replica.
   *
   * @throws FailureError `corruptLog` or `wrongFolder`.
   */
  static async open(
    options: replicaOptions.ReplicaDriverOptions,
  ): Promise<ReplicaDriver> {
    const { log, state } = await openReplicas.openReplica(options);
    const driver = new ReplicaDriver(options, log, state);
    driver.#start();
    return driver;
  }

  /**
   * Reports whether this replica may act as leader now. All entries of earlier
   * terms must be applied, too: a slow disk delays applying committed entries.
   */
  hasAuthority(): boolean {
    const { role } = this.#state;
    if (role.kind !== "leader") return false;
    if (this.getAppliedIndex() < role.termStartIndex) return false;
    const nowMs = this.#options.clock.getMonotonicMs();
    const resumedAtMs = this.#suspensions.getResumedAtMs();
    return leaderLeases.hasAuthority(this.#state, nowMs, resumedAtMs);
  }

  /** Returns the monotonic time at which the leader's lease expires, in ms. */
  getLeaseExpiryMs(): number {
    const nowMs = this.#options.clock.getMonotonicMs();
    const resumedAtMs = this.#suspensions.getResumedAtMs();
    return leaderLeases.getLeaseExpiryMs(this.#state, nowMs, resumedAtMs);
  }

  /** Returns the current term, used as a fencing token. */
  getTerm(): number {
    return this.#state.term;
  }

  /** Returns the id of the group; undefined if this replica knows none. */
  getGroupId(): string | undefined {
    return this.#state.identity.groupId;
  }

  /** Returns the index of the last applied entry. */
  getAppliedIndex(): number {
    return this.#applied.getAppliedIndex();
  }

  /** Returns the id of the leader, or undefined if it is unknown. */
  getLeader(): string | undefined {
    return replicaStatuses.getLeader(this.#state);
  }

  getStatus(): replicaStatuses.ReplicaStatus {
    const nowMs = this.#options.clock.getMonotonicMs();
    return replicaStatuses.describeReplica(this.#state, nowMs);
  }

  /** Describes why this replica is, or isn't, an active leader. */
  getHealth(): replicaStatuses.ReplicaHealth {
    const writingMs = this.#writer.getWritingMs();
    return this.#notices.describe(this.#state, this.hasAuthority(), writingMs);
  }

  /** Lists the ids of the voters according to this replica's log. */
  listVoters(): readonly string[] {
    return replicaStates.listVoters(this.#state);
  }

  /** Sets the replicas that receive the log without a vote from this leader. */
  setLearners(learners: readonly string[]): void {
    this.#enqueue({ kind: "setLearners", learners });
  }

  /** Requests to add or remove one voter; `listVoters` shows the outcome. */
  changeVoters(voters: readonly string[]): void {
    this.#enqueue({ kind: "changeVoters", voters });
  }

  /**
   * Accepts a message from another replica; drops it if the inbox is full or if it
   * comes from another group.
   *
   * @param from Id of the sender.
   * @param message The message.
   * @param groupId Id of the sender's group, if it told one.
   */
  receive(
    from: string,
    message: messages.DriverMessage,
    groupId?: string,
  ): void {
    const verdict = this.#groupGate.check(this.getGroupId(), {
      from,
      message,
      groupId,
    });
    if (verdict.kind === "foreign") return;
    if (verdict.kind === "join") {
      this.#enqueue({ kind: "joinGroup", groupId: verdict.groupId });
    }
    const complete = this.#snapshots.handleMessage(
      from,
      message,
      this.#state.term,
    );
    if (complete === undefined) return;
    this.#enqueue({ kind: "message", from, message: complete });
  }

  /**
   * Proposes a command.
   *
   * @param command The command.
   * @param timeoutMs How long to wait for it to be committed.
   * @returns The state machine's result; `notLeader` or `overloaded` if the
   * command wasn't accepted, `changeUnknown` if its outcome is unknown.
   */
  propose(
    command: unknown,
    timeoutMs: number,
  ): Promise<results.Result<unknown>> {
    return proposalTables.awaitProposal(
      this.#options.clock,
      timeoutMs,
      (settle) => this.#inbox.offer({ kind: "proposal", command, settle }),
    );
  }

  /**
   * Transfers leadership to a follower that holds every entry, if there is one.
   *
   * @param to Id of the follower; any by default.
   */
  transferLeadership(to?: string): void {
    this.#enqueue({ kind: "transfer", to });
  }

  /** Stops the replica after the current write. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#timer.stop();
    this.#inbox.close();
    this.#writer.stop();
    await this.#running;
    await this.#compactor.waitUntilIdle();
    await this.#writer.close();
  }

  /** Queues an event for the next batch; drops it if the inbox is full. */
  #enqueue(event: replicaStates.ReplicaEvent): void {
    this.#inbox.offer({ kind: "replica", event });
  }

  #start(): void {
    this.#running = csp.runProcess(() => this.#run(), this.#options.onFatal);
    this.#scheduleTick();
    this.#checkLeader();
  }

  /** Checks at intervals for a leader, even while a write is in progress. */
  #checkLeader(): void {
    if (this.#isStopped) return;
    const writingMs = this.#writer.getWritingMs();
    this.#notices.observeLeader(this.#state, this.hasAuthority(), writingMs);
    this.#options.clock.startTimer(LEADER_CHECK_MS, () => this.#checkLeader());
  }

  #scheduleTick(): void {
    const { role, electionAtMs } = this.#state;
    if (this.#isStopped) return;
    this.#timer.set(
      role.kind === "leader" ? role.nextHeartbeatAtMs : electionAtMs,
    );
  }

  *#run(): csp.Step<void> {
    for (;;) {
      const first = yield* this.#inbox.take();
      if (first === csp.CLOSED) return;
      const batch = driverEvents.collectBatch(this.#inbox, first);
      const effects = this.#processBatch(batch);
      yield* this.#persister.persist(effects, this.#state);
      if (this.#isStopped) return;
      for (const effect of effects) this.#executeEffect(effect);
      this.#state = yield* this.#compactor.compact(
        this.#state,
        this.#snapshots.findNeededIndex(this.#state),
      );
      this.#compactor.startSnapshot(this.#applied, this.#state.log);
      this.#notices.observe(this.#state, this.hasAuthority());
      this.#scheduleTick();
    }
  }

  #processBatch(
    batch: readonly driverEvents.DriverEvent[],
  ): readonly replicaStates.Effect[] {
    const proposals = batch.filter((event) => event.kind === "proposal");
    if (this.#state.role.kind !== "leader") this.#snapshots.pause();
    const effects = batch.flatMap((event) =>
      event.kind === "replica" ? this.#step(event.event) : []
    );
    return [...effects, ...this.#processProposals(proposals)];
  }

  #processProposals(
    proposals: readonly driverEvents.Proposal[],
  ): readonly replicaStates.Effect[] {
    if (proposals.length === 0) return [];
    const nowMs = this.#options.clock.getMonotonicMs();
    const { role } = this.#state;
    if (
      role.kind !== "leader" || replicaStates.isHandingOver(this.#state, nowMs)
    ) {
      proposalTables.rejectProposals(proposals, this.getLeader());
      return [];
    }
    const firstIndex = replicaLogs.getLastIndex(this.#state.log) + 1;
    this.#proposals.addAll(firstIndex, this.#state.term, proposals);
    return this.#step({
      kind: "propose",
      commands: proposals.map((proposal) => proposal.command),
    });
  }

  #step(event: replicaStates.ReplicaEvent): readonly replicaStates.Effect[] {
    this.#notices.recordEvent(this.#state, event);
    const nowMs = this.#options.clock.getMonotonicMs();
    const transition = stepReplica.stepReplica(this.#state, event, nowMs);
    this.#state = transition.state;
    return transition.effects;
  }

  #executeEffect(effect: replicaStates.Effect): void {
    switch (effect.kind) {
      case "saveVote":
      case "saveIdentity":
      case "saveEntries":
        return;
      case "restore":
        return this.#applied.restore(effect.snapshot);
      case "send":
        return this.#options.send(effect.to, effect.message);
      case "sendSnapshot":
        return this.#snapshots.send(effect.to, this.#state.term);
      case "commit":
        for (const entry of effect.entries) this.#applied.apply(entry);
        this.#compactor.recordApplied(effect.entries);
    }
  }
}
