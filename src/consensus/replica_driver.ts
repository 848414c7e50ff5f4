import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as results from "../results/mod.ts";
import type * as storage from "../storage/mod.ts";
import * as appliedMachines from "./_applied_machine.ts";
import * as noticeTellers from "./_notice_teller.ts";
import * as driverEvents from "./_driver_event.ts";
import * as durableWriters from "./_durable_writer.ts";
import * as logCutters from "./_log_cutter.ts";
import * as openReplicas from "./_open_replica.ts";
import * as savedRecords from "./_saved_record.ts";
import * as proposalTables from "./_proposals.ts";
import * as tickTimers from "./_tick_timer.ts";
import * as authorities from "./authority.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaOptions from "./replica_options.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";
import * as snapshotTransfers from "./_snapshot_transfer.ts";
import * as stepReplica from "./step_replica.ts";

const INBOX_CAPACITY = 8_192;
/** Between two looks whether a leader is known, in ms. */
const WATCH_MS = 1_000;

/** Runs one replica: its disk, its messages and its timer. */
export class ReplicaDriver {
  readonly #options: replicaOptions.ReplicaDriverOptions;
  readonly #writer: durableWriters.DurableWriter;
  readonly #inbox = new csp.Channel<driverEvents.DriverEvent>(INBOX_CAPACITY);
  readonly #proposals = new proposalTables.ProposalTable();
  readonly #timer: tickTimers.TickTimer;
  #state: replicaStates.ReplicaState;
  readonly #applied: appliedMachines.AppliedMachine;
  #isStopped = false;
  #ended: Promise<void> = Promise.resolve();
  readonly #exchange: snapshotTransfers.SnapshotExchange;
  readonly #cutter: logCutters.LogCutter;
  readonly #teller: noticeTellers.NoticeTeller;
  readonly #suspensions: clocks.SuspensionDetector;

  private constructor(
    options: replicaOptions.ReplicaDriverOptions,
    log: storage.DurableLog,
    state: replicaStates.ReplicaState,
  ) {
    this.#options = options;
    this.#suspensions = new clocks.SuspensionDetector(options.clock);
    this.#writer = new durableWriters.DurableWriter(log, options.clock);
    this.#state = state;
    this.#cutter = new logCutters.LogCutter({
      ...options,
      writer: this.#writer,
      snapshotIndex: state.log.snapshotIndex,
    });
    this.#exchange = new snapshotTransfers.SnapshotExchange({
      clock: options.clock,
      send: options.send,
      createSnapshot: () => this.#applied.createSnapshot(this.#state.log),
      onNotice: options.onNotice,
    });
    this.#timer = new tickTimers.TickTimer(options.clock, () => {
      this.#offer({ kind: "tick" });
    });
    this.#applied = new appliedMachines.AppliedMachine(
      options.machine,
      this.#proposals,
      state.log,
    );
    this.#teller = new noticeTellers.NoticeTeller(options, state);
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
   * Tells whether this replica may act as leader now. Its machine must hold
   * what was accepted before its term: what is committed is applied only after
   * the round's write, which a stalled disk holds up for seconds.
   */
  hasAuthority(): boolean {
    const { role } = this.#state;
    if (role.kind !== "leader") return false;
    if (this.getAppliedIndex() < role.firstIndex) return false;
    const nowMs = this.#options.clock.getMonotonicMs();
    const wokeAtMs = this.#suspensions.getResumedAtMs();
    return authorities.hasAuthority(this.#state, nowMs, wokeAtMs);
  }

  /** Monotonic ms until which this replica surely leads. */
  getAuthorityUntilMs(): number {
    const nowMs = this.#options.clock.getMonotonicMs();
    const wokeAtMs = this.#suspensions.getResumedAtMs();
    return authorities.getAuthorityUntilMs(this.#state, nowMs, wokeAtMs);
  }

  /** The term fences orders of the leader. */
  getTerm(): number {
    return this.#state.term;
  }

  /** Index of the last entry that the machine holds. */
  getAppliedIndex(): number {
    return this.#applied.getIndex();
  }

  /** Id of the leader, as far as this replica knows. */
  getLeader(): string | undefined {
    return replicaStatuses.getLeader(this.#state);
  }

  getStatus(): replicaStatuses.ReplicaStatus {
    const nowMs = this.#options.clock.getMonotonicMs();
    return replicaStatuses.describeReplica(this.#state, nowMs);
  }

  /** What explains that this replica leads, or that it does not. */
  getHealth(): replicaStatuses.ReplicaHealth {
    const writingMs = this.#writer.getWritingMs();
    return this.#teller.describe(this.#state, this.hasAuthority(), writingMs);
  }

  /** Ids of the voters, as this replica's log names them. */
  listVoters(): readonly string[] {
    return replicaStates.listVoters(this.#state);
  }

  /** Names the replicas to feed beside the voters, should this replica lead. */
  setLearners(learners: readonly string[]): void {
    this.#offer({ kind: "setLearners", learners });
  }

  /** Asks to add or remove one voter; see `listVoters` for what came of it. */
  changeVoters(voters: readonly string[]): void {
    this.#offer({ kind: "changeVoters", voters });
  }

  /** Gives a message from another replica; dropped when the inbox is full. */
  receive(from: string, message: messages.DriverMessage): void {
    const whole = this.#exchange.take(from, message, this.#state.term);
    if (whole === undefined) return;
    this.#offer({ kind: "message", from, message: whole });
  }

  /**
   * Proposes a command.
   *
   * @param command The command.
   * @param timeoutMs How long to wait for it to be committed.
   * @returns The machine's answer; `notLeader` if it surely was not accepted,
   * `changeUnknown` if that is not known.
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
   * Hands leadership to a follower that has every entry, if there is one.
   *
   * @param to Id of the only follower that may take it; any unless given.
   */
  transfer(to?: string): void {
    this.#offer({ kind: "transfer", to });
  }

  /** Stops once the write under way has ended; what was synced stays. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#timer.stop();
    this.#inbox.close();
    this.#writer.stop();
    await this.#ended;
    await this.#cutter.settle();
    await this.#writer.close();
  }

  /** Gives an event to the next round; dropped when the inbox is full. */
  #offer(event: replicaStates.ReplicaEvent): void {
    this.#inbox.offer({ kind: "replica", event });
  }

  #start(): void {
    this.#ended = csp.runProcess(() => this.#run(), this.#options.onFatal);
    this.#setTick();
    this.#watchLeader();
  }

  /** Looks for a leader, also while a round waits for its write. */
  #watchLeader(): void {
    if (this.#isStopped) return;
    const writingMs = this.#writer.getWritingMs();
    this.#teller.observeLeader(this.#state, this.hasAuthority(), writingMs);
    this.#options.clock.startTimer(WATCH_MS, () => this.#watchLeader());
  }

  #setTick(): void {
    const { role, electionAtMs } = this.#state;
    if (this.#isStopped) return;
    this.#timer.set(role.kind === "leader" ? role.heartbeatAtMs : electionAtMs);
  }

  *#run(): csp.Step<void> {
    for (;;) {
      const first = yield* this.#inbox.take();
      if (first === csp.CLOSED) return;
      const round = driverEvents.collectRound(this.#inbox, first);
      const effects = this.#stepRound(round);
      yield* this.#saveEffects(effects);
      if (this.#isStopped) return;
      for (const effect of effects) this.#runEffect(effect);
      this.#state = yield* this.#cutter.cut(
        this.#state,
        this.#exchange.findNeededIndex(this.#state),
      );
      this.#cutter.startDraft(this.#applied, this.#state.log);
      this.#teller.observe(this.#state, this.hasAuthority());
      this.#setTick();
    }
  }

  #stepRound(
    round: readonly driverEvents.DriverEvent[],
  ): readonly replicaStates.Effect[] {
    const proposals = round.filter((event) => event.kind === "proposal");
    if (this.#state.role.kind !== "leader") this.#exchange.drop();
    const effects = round.flatMap((event) =>
      event.kind === "replica" ? this.#step(event.event) : []
    );
    return [...effects, ...this.#stepProposals(proposals)];
  }

  #stepProposals(
    proposals: readonly driverEvents.Proposal[],
  ): readonly replicaStates.Effect[] {
    if (proposals.length === 0) return [];
    const nowMs = this.#options.clock.getMonotonicMs();
    const { role } = this.#state;
    if (
      role.kind !== "leader" || replicaStates.isHandingOver(this.#state, nowMs)
    ) {
      proposalTables.refuseProposals(proposals, this.getLeader());
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
    this.#teller.noteEvent(this.#state, event);
    const nowMs = this.#options.clock.getMonotonicMs();
    const transition = stepReplica.stepReplica(this.#state, event, nowMs);
    this.#state = transition.state;
    return transition.effects;
  }

  *#saveEffects(effects: readonly replicaStates.Effect[]): csp.Step<void> {
    const restore = effects.findLastIndex((effect) =>
      effect.kind === "restore"
    );
    const later = effects.slice(restore + 1);
    const last = effects[restore];
    if (last?.kind === "restore") {
      const isAdmittedLater = later.some(({ kind }) => kind === "saveIdentity");
      yield* this.#saveRestored(last.snapshot, isAdmittedLater);
    }
    const records = later.flatMap(savedRecords.toRecords);
    if (records.length > 0) yield* this.#writer.append(records);
  }

  /**
   * Writes a snapshot in the place of the log. Where the replica is admitted by
   * what follows it, the disk must not say so before it holds that too: with power
   * lost in between, it would vote away what its former self vouched for.
   */
  *#saveRestored(
    snapshot: messages.Snapshot,
    isAdmittedLater: boolean,
  ): csp.Step<void> {
    const { clock, onNotice } = this.#options;
    const startMs = clock.getMonotonicMs();
    const { identity } = this.#state;
    const isAdmitted = identity.isAdmitted && !isAdmittedLater;
    yield* this.#cutter.restore(snapshot, {
      ...this.#state,
      identity: { ...identity, isAdmitted },
    });
    onNotice?.({
      kind: "snapshotTaken",
      index: snapshot.index,
      parts: snapshot.state.length,
      tookMs: Math.round(clock.getMonotonicMs() - startMs),
    });
  }

  #runEffect(effect: replicaStates.Effect): void {
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
        return this.#exchange.send(effect.to, this.#state.term);
      case "commit":
        for (const entry of effect.entries) this.#applied.apply(entry);
        this.#cutter.add(effect.entries);
    }
  }
}
