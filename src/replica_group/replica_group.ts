import * as fs from "node:fs";
import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as heldBytes from "../held_bytes/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import * as results from "../results/mod.ts";
import * as rpc from "../rpc/mod.ts";
import * as storage from "../storage/mod.ts";
import * as bootstrapClients from "./_bootstrap_client.ts";
import * as createElectionSeed from "./_create_election_seed.ts";
import * as describeNotice from "./_describe_notice.ts";
import * as isBulk from "./_is_bulk.ts";
import * as voterPlanners from "./_voter_planner.ts";
import * as notLeaders from "./not_leader.ts";

/**
 * Shortest silence of the leader before an election, in ms: five heartbeats, and
 * well above the time of a slow disk sync or a pause of the process.
 */
const ELECTION_TIMEOUT_MS = 450;
const HEARTBEAT_INTERVAL_MS = 90;
/** Most entries in a message; one with request bodies may have 300 KB. */
const MAX_BATCH_ENTRIES = 24;
/** Time between two plans of the voters, in ms. */
const PLAN_INTERVAL_MS = 100;
/** Time between two attempts to open a data folder on a full disk, in ms. */
const DISK_FULL_RETRY_MS = 500;
const MAX_RESIGN_ATTEMPTS = 20;
const RESIGN_RETRY_MS = 20;

/** Options of a replica group. */
export interface ReplicaGroupOptions {
  /** Name of the group; prefix of its RPC methods. */
  readonly name: string;
  readonly id: string;
  readonly failureDomain: string;
  readonly dataFolder: string;
  /** Whether the process starts for the first time on this box. */
  readonly isFirstStart: boolean;
  /** Largest number of voters. */
  readonly maxVoters: number;
  /** Smallest number of voters to aim for and to bootstrap with. */
  readonly minVoters: number;
  /** Applied entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Addresses of the boxes that choose the initial voters, in order. */
  readonly seeds: readonly string[];
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly stateMachine: consensus.StateMachine;
  readonly directory: fleet.BoxDirectory;
  readonly peers: fleet.Peers;
  readonly server: rpc.MethodRegistry;
  /** Reports whether a box may be a voter of this group. */
  readonly canVote: (box: fleet.BoxRecord) => boolean;
  /** Lists the ids of boxes that are being retired. */
  readonly listRetiring: () => readonly string[];
  readonly onLogRead?: consensus.LogReadHandler;
  /** Called after a failed write; the process must exit. */
  readonly onFatal: (error: unknown) => void;
}

interface ConsensusEnvelope {
  readonly from: string;
  readonly message: consensus.DriverMessage;
  /** Id of the sender's group; older builds and empty replicas omit it. */
  readonly groupId?: string;
}

/** This box's replica of a group; as leader, it also replaces voters. */
export class ReplicaGroup {
  readonly #options: ReplicaGroupOptions;
  #driver: consensus.ReplicaDriver | undefined;
  /** Envelopes by message, so that each is encoded once for all receivers. */
  readonly #envelopes = new WeakMap<
    consensus.DriverMessage,
    ConsensusEnvelope
  >();
  readonly #bootstrapClient: bootstrapClients.BootstrapClient;
  readonly #planner: voterPlanners.VoterPlanner;
  #isStopped = false;
  /** Term at the last `getReignMs`, and its first call, in monotonic ms. */
  #leadership = { term: 0, sinceMs: 0 };

  constructor(options: ReplicaGroupOptions) {
    this.#options = options;
    this.#bootstrapClient = new bootstrapClients.BootstrapClient(options);
    this.#planner = new voterPlanners.VoterPlanner(options);
    options.server.add(
      this.#getMethod(),
      ({ from, message, groupId }: ConsensusEnvelope) =>
        this.#driver?.receive(from, message, groupId),
    );
  }

  /** Bootstraps or joins the group; resolves once the replica runs. */
  async start(): Promise<void> {
    const { isFirstStart, dataFolder } = this.#options;
    fs.mkdirSync(dataFolder, { recursive: true });
    const isEmpty = fs.readdirSync(dataFolder).length === 0;
    if (isFirstStart && isEmpty) {
      await this.#bootstrapClient.initializeDataFolder();
    }
    if (this.#isStopped) return;
    this.#driver = await this.#openWithRetry();
    this.#runPlanner();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#bootstrapClient.stop();
    await this.#driver?.stop();
  }

  /** Transfers leadership before a planned stop, within a bounded time. */
  async resign(): Promise<void> {
    for (let attempt = 0; attempt < MAX_RESIGN_ATTEMPTS; attempt += 1) {
      if (this.#driver?.getStatus().role !== "leader") return;
      this.#driver.transferLeadership();
      await clocks.sleep(this.#options.clock, RESIGN_RETRY_MS);
    }
  }

  /** Transfers leadership to a voter if it holds the whole log. */
  transferTo(to: string): void {
    this.#driver?.transferLeadership(to);
  }

  /** Whether this replica is the leader and holds a lease. */
  hasAuthority(): boolean {
    return this.#driver?.hasAuthority() ?? false;
  }

  /** Returns how long the current term has lasted since the first call, in ms. */
  getReignMs(): number {
    const nowMs = this.#options.clock.getMonotonicMs();
    const term = this.getTerm();
    if (this.#leadership.term !== term) {
      this.#leadership = { term, sinceMs: nowMs };
    }
    return nowMs - this.#leadership.sinceMs;
  }

  getTerm(): number {
    return this.#driver?.getTerm() ?? 0;
  }

  getStatus(): consensus.ReplicaStatus | undefined {
    return this.#driver?.getStatus();
  }

  /** Returns the current term if this replica has authority, else 0. */
  getLeadTerm(): number {
    return this.hasAuthority() ? this.getTerm() : 0;
  }

  listVoters(): readonly string[] {
    return this.#driver?.listVoters() ?? [];
  }

  /** Returns the voter configuration; undefined before the start. */
  getVoterSet(): consensus.VoterSet | undefined {
    return this.#driver?.getStatus().voterSet;
  }

  /** Returns the id of the leader that this replica knows, if any. */
  getLeader(): string | undefined {
    return this.#driver?.getLeader();
  }

  /** Returns the index of the last entry applied to the state machine. */
  getAppliedIndex(): number {
    return this.#driver?.getAppliedIndex() ?? 0;
  }

  /** Creates the answer to calls that only the leader serves. */
  createNotLeader(): notLeaders.NotLeader {
    const reason = notLeaders.explainNotLeader(this.#driver?.getHealth());
    return { kind: "notLeader", leader: this.getLeader(), reason };
  }

  /** Proposes a command; see `ReplicaDriver.propose`. */
  async propose<T>(
    command: unknown,
    timeoutMs: number,
  ): Promise<results.Result<T>> {
    if (this.#driver === undefined) {
      return results.createFailure(
        "notLeader",
        "Cannot accept the change: the replica has not started",
      );
    }
    const result = await this.#driver.propose(command, timeoutMs);
    return result as results.Result<T>;
  }

  #getMethod(): string {
    return `${this.#options.name}.consensus`;
  }

  /** Opens the data folder, with retries while its disk is full. */
  async #openWithRetry(): Promise<consensus.ReplicaDriver> {
    const { clock, log, name } = this.#options;
    for (;;) {
      try {
        return await this.#openDriver();
      } catch (error) {
        if (!storage.isDiskFull(error)) throw error;
      }
      log.write("warn", "group.diskFull", { group: name });
      await clocks.sleep(clock, DISK_FULL_RETRY_MS);
    }
  }

  #openDriver(): Promise<consensus.ReplicaDriver> {
    const { id, clock, peers } = this.#options;
    return consensus.ReplicaDriver.open({
      ...this.#options,
      config: {
        id,
        voters: [],
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: HEARTBEAT_INTERVAL_MS,
        maxBatchEntries: MAX_BATCH_ENTRIES,
        seed: createElectionSeed.createElectionSeed(id, clock.getWallMs()),
      },
      send: (to, message) =>
        peers.get(to).notify(this.#getMethod(), this.#wrapMessage(message)),
      onNotice: (notice) => this.#writeNotice(notice),
    });
  }

  #writeNotice(notice: consensus.ReplicaNotice): void {
    const { log, name, metrics } = this.#options;
    if (notice.kind === "voteRefused") {
      metrics.replicas.countRefusedVote(name, notice.reason);
    }
    const level = describeNotice.chooseLogLevel(notice);
    log.write(level, `replica.${notice.kind}`, {
      group: name,
      ...describeNotice.describeNotice(notice),
    });
  }

  #wrapMessage(message: consensus.DriverMessage): ConsensusEnvelope {
    const cached = this.#envelopes.get(message);
    if (cached !== undefined) return cached;
    const groupId = this.#driver?.getGroupId();
    const envelope: ConsensusEnvelope = {
      from: this.#options.id,
      message,
      ...(groupId === undefined ? {} : { groupId }),
    };
    this.#envelopes.set(message, envelope);
    if (isBulk.isBulk(message)) rpc.disableCompression(envelope);
    if (hasLargeEntry(message)) rpc.markLarge(envelope);
    return envelope;
  }

  #runPlanner(): void {
    if (this.#isStopped) return;
    if (this.#driver !== undefined) {
      this.#planner.update(this.#driver, () => this.getReignMs());
    }
    this.#options.clock.startTimer(PLAN_INTERVAL_MS, () => this.#runPlanner());
  }
}

/** Reports whether a message carries an entry to be encoded in parts. */
function hasLargeEntry(message: consensus.DriverMessage): boolean {
  return message.kind === "appendRequest" &&
    message.entries.some((entry) =>
      consensus.estimateBytes(entry) >= heldBytes.LARGE_MESSAGE_BYTES
    );
}
