import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import * as csp from "../csp/mod.ts";
import * as audit from "../audit_trail/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as rpc from "../rpc/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as leaderSessions from "./leader_session.ts";
import * as protocols from "./protocol.ts";
import * as stateMachines from "./control_state_machine.ts";

const MAX_AUDIT_RECORDS = 1_000;
const REFRESH_INTERVAL_MS = 100;
const RESIGN_TIMEOUT_MS = 1_000;
const RESIGN_RETRY_DELAY_MS = 20;

/** What a control service needs. */
export interface ControlServiceOptions {
  readonly settings: settings.Settings;
  readonly control: settings.ControlSettings;
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly server: rpc.RpcServer;
  readonly onFatal: (error: unknown) => void;
}

/** A replica of the state, and the leader's services while it leads. */
export class ControlService {
  readonly #options: ControlServiceOptions;
  readonly #stateMachine: stateMachines.ControlStateMachine;
  readonly #changed = new csp.Signal();
  readonly #peers: ReadonlyMap<string, rpc.RpcClient>;
  #driver: consensus.ReplicaDriver | undefined;
  #session: leaderSessions.LeaderSession | undefined;
  #isStopped = false;

  constructor(options: ControlServiceOptions) {
    this.#options = options;
    this.#stateMachine = new stateMachines.ControlStateMachine(() =>
      this.#changed.notify()
    );
    const { replicas, box } = options.settings;
    this.#peers = new Map(
      replicas.filter((replica) => replica.id !== box.id)
        .map((replica) => [replica.id, new rpc.RpcClient(replica)] as const),
    );
  }

  /** Opens the data folder and starts to take part. */
  async start(): Promise<void> {
    const { settings: { box, replicas }, control, clock, onFatal } =
      this.#options;
    this.#driver = await consensus.ReplicaDriver.open({
      config: {
        id: box.id,
        voters: replicas.map((replica) => replica.id),
        electionTimeoutMs: control.electionTimeoutMs,
        heartbeatMs: control.heartbeatMs,
        maxBatchEntries: MAX_BATCH_ENTRIES,
        seed: replicas.findIndex((replica) => replica.id === box.id) + 1,
      },
      clock,
      dataFolder: control.dataFolder,
      stateMachine: this.#stateMachine,
      snapshotEntries: control.snapshotEntries,
      send: (to, message) => this.#sendMessage(to, message),
      onFatal,
    });
    this.#registerMethods();
    this.#scheduleRefresh();
  }

  /** Hands leadership over before a planned stop, within a bounded time. */
  async resign(): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + RESIGN_TIMEOUT_MS;
    while (
      this.#driver?.getStatus().role === "leader" &&
      clock.getMonotonicMs() < endMs
    ) {
      this.#driver.transferLeadership();
      await clocks.sleep(clock, RESIGN_RETRY_DELAY_MS);
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const peer of this.#peers.values()) peer.close();
    await this.#driver?.stop();
  }

  getState(): replicated.ReplicatedState {
    return this.#stateMachine.getState();
  }

  /** The session of this leader, or undefined without authority. */
  getSession(): leaderSessions.LeaderSession | undefined {
    const driver = this.#driver;
    if (driver === undefined || !driver.hasAuthority()) return undefined;
    if (this.#session?.term !== driver.getTerm()) {
      this.#startSession(driver.getTerm());
    }
    return this.#session;
  }

  /** Monotonic ms until which this replica surely leads. */
  getAuthorityUntilMs(): number {
    return this.#driver?.getLeaseExpiryMs() ?? 0;
  }

  /** Proposes a command of the leader itself. */
  propose(
    command: replicated.Command,
    timeoutMs: number,
  ): Promise<results.Result<unknown>> {
    if (this.#driver === undefined) {
      return Promise.resolve(
        results.createFailure(
          "notLeader",
          "Cannot accept the change: the replica has not started",
        ),
      );
    }
    return this.#driver.propose(command, timeoutMs);
  }

  #startSession(term: number): void {
    const { clock, log, settings: { lease } } = this.#options;
    log.write("info", "leader.began", { term });
    this.#session = new leaderSessions.LeaderSession(
      { clock, term, leaseMs: lease.leaseMs },
      () => this.#changed.notify(),
    );
  }

  #scheduleRefresh(): void {
    if (this.#isStopped) return;
    this.#options.clock.startTimer(REFRESH_INTERVAL_MS, () => {
      this.getSession()?.refresh();
      this.#scheduleRefresh();
    });
  }

  #registerMethods(): void {
    const { server } = this.#options;
    server.add(
      protocols.METHODS.consensus,
      (envelope: protocols.ConsensusEnvelope) => {
        this.#driver?.receive(envelope.from, envelope.message);
      },
    );
    server.add(
      protocols.METHODS.sync,
      (request: protocols.SyncRequest) => this.#handleSync(request),
    );
    server.add(
      protocols.METHODS.propose,
      (request: protocols.ProposeRequest) => this.#handlePropose(request),
    );
    server.add(
      protocols.METHODS.awaitInForce,
      (request: protocols.InForceRequest) => this.#handleAwaitInForce(request),
    );
    server.add(
      protocols.METHODS.readAudit,
      (request: protocols.AuditRequest) => this.#handleReadAudit(request),
    );
    server.add(protocols.METHODS.readStatus, () => this.#handleReadStatus());
  }

  #sendMessage(to: string, message: consensus.DriverMessage): void {
    const envelope: protocols.ConsensusEnvelope = {
      from: this.#options.settings.box.id,
      message,
    };
    this.#peers.get(to)?.notify(protocols.METHODS.consensus, envelope);
  }

  #createNotLeader(): protocols.NotLeader {
    return { kind: "notLeader", leader: this.#driver?.getLeader() };
  }

  async #handleSync(
    request: protocols.SyncRequest,
  ): Promise<protocols.SyncReply> {
    const session = this.getSession();
    if (session === undefined) return this.#createNotLeader();
    session.recordSync(request.box, request.revision);
    if (!this.#hasChanges(session, request)) {
      const { clock, settings: { lease } } = this.#options;
      await this.#changed.wait(clock, lease.syncWaitMs);
    }
    if (this.getSession() !== session) return this.#createNotLeader();
    session.grantLease(request.box.id);
    return this.#createSyncReply(session, request);
  }

  #hasChanges(
    session: leaderSessions.LeaderSession,
    request: protocols.SyncRequest,
  ): boolean {
    if (this.#stateMachine.getState().revision > request.revision) return true;
    const membership = session.getMembership();
    return membership !== undefined &&
      membership.version !== request.membershipVersion;
  }

  #createSyncReply(
    session: leaderSessions.LeaderSession,
    request: protocols.SyncRequest,
  ): protocols.SyncReply {
    const membership = session.getMembership();
    const isCurrent = membership?.version === request.membershipVersion;
    return {
      kind: "synced",
      term: session.term,
      leaseMs: this.#options.settings.lease.leaseMs,
      config: stateMachines.collectChange(
        this.#stateMachine.getState(),
        request.revision,
      ),
      membership: isCurrent ? undefined : membership,
    };
  }

  async #handlePropose(
    request: protocols.ProposeRequest,
  ): Promise<protocols.ProposeReply> {
    const result = await this.propose(request.command, request.timeoutMs);
    if (result.kind === "failure" && result.failure.code === "notLeader") {
      return this.#createNotLeader();
    }
    return {
      kind: "proposed",
      result: result as results.Result<replicated.CommandAnswer>,
    };
  }

  async #handleAwaitInForce(
    request: protocols.InForceRequest,
  ): Promise<protocols.InForceReply> {
    const session = this.getSession();
    if (session === undefined) return this.#createNotLeader();
    const isInForce = await session.awaitInForce(
      request.revision,
      request.timeoutMs,
    );
    if (this.getSession() !== session) return this.#createNotLeader();
    return { kind: "waited", isInForce };
  }

  #handleReadAudit(request: protocols.AuditRequest): protocols.AuditReply {
    if (this.getSession() === undefined) return this.#createNotLeader();
    const records = this.#stateMachine.getState().audit
      .filter((record) => audit.matchRecord(record, request.filter))
      .takeLast(Math.min(request.limit, MAX_AUDIT_RECORDS));
    return { kind: "audit", records: [...records] };
  }

  #handleReadStatus(): protocols.StatusReply {
    const session = this.getSession();
    const driver = this.#driver;
    if (session === undefined || driver === undefined) {
      return this.#createNotLeader();
    }
    const state = this.#stateMachine.getState();
    return {
      kind: "status",
      leader: this.#options.settings.box.id,
      revision: state.revision,
      replica: driver.getStatus(),
      boxes: session.describeBoxes(),
      servers: session.getServers(),
      models: [...state.models.values()],
      roles: [...state.roles.values()],
    };
  }
}

const MAX_BATCH_ENTRIES = 512;
