import * as fs from "node:fs";
import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import * as results from "../results/mod.ts";
import * as rpc from "../rpc/mod.ts";
import * as storage from "../storage/mod.ts";
import * as createElectionSeed from "./_create_election_seed.ts";
import * as describeNotice from "./_describe_notice.ts";
import * as bootstrapClients from "./_bootstrap_client.ts";
import * as notLeaders from "./not_leader.ts";
import * as planVoters from "./plan_voters.ts";

/**
 * Shortest silence before an election, in ms: five heartbeats, and well above
 * the slowest sync (60 ms on a slow disk) and pause (100 ms without processor)
 * that were seen.
 */
const ELECTION_TIMEOUT_MS = 450;
const HEARTBEAT_INTERVAL_MS = 90;
/** Entries a message; a submission with its bodies takes some 300 KB. */
const MAX_BATCH_ENTRIES = 24;
/** Entries a message from which it is bulk: a replica is catching up. */
const MIN_BULK_ENTRIES = 8;
/** Between two looks at the voters, in ms; a replacement takes two of them. */
const PLAN_INTERVAL_MS = 100;
/**
 * Silence after which a voter is replaced by a spare, in ms. A voter that is gone
 * for good must be replaced before the next one may be lost, some 5 s after its
 * successor's start, also where all boxes lost power meanwhile: with 3 s, and
 * none counted in the first 3 s of a leader, the set was whole 6.4 s after that
 * start (fake clock).
 */
const VOTER_FAILURE_TIMEOUT_MS = 2_000;
/** Between two tries to open a data folder on a full disk, in ms. */
const DISK_FULL_RETRY_MS = 500;
const MAX_RESIGN_ATTEMPTS = 20;
const RESIGN_RETRY_MS = 20;

/** What a replica group needs. */
export interface ReplicaGroupOptions {
  /** Name of the group; it begins the names of its calls. */
  readonly name: string;
  readonly id: string;
  readonly failureDomain: string;
  readonly dataFolder: string;
  readonly isFirstStart: boolean;
  /** Voters that the group should have, if there are so many boxes. */
  readonly maxVoters: number;
  /** Boxes that must apply before the group is founded in a hurry. */
  readonly minVoters: number;
  readonly snapshotEntries: number;
  readonly seeds: readonly string[];
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly stateMachine: consensus.StateMachine;
  readonly directory: fleet.BoxDirectory;
  readonly peers: fleet.Peers;
  readonly server: rpc.MethodRegistry;
  /** Whether a box may keep a replica of this group. */
  readonly canVote: (box: fleet.BoxRecord) => boolean;
  /** Ids of boxes that are to be emptied. */
  readonly listRetiring: () => readonly string[];
  /** Told of a failed write; the process must end. */
  readonly onFatal: (error: unknown) => void;
}

interface ConsensusEnvelope {
  readonly from: string;
  readonly message: consensus.DriverMessage;
}

/**
 * This box's replica of a group: founds or joins the set, and keeps its voters
 * where they should be while it leads.
 */
export class ReplicaGroup {
  readonly #options: ReplicaGroupOptions;
  #driver: consensus.ReplicaDriver | undefined;
  /** One envelope a message, so that it is encoded once for all receivers. */
  readonly #envelopes = new WeakMap<
    consensus.DriverMessage,
    ConsensusEnvelope
  >();
  readonly #bootstrapClient: bootstrapClients.BootstrapClient;
  #isStopped = false;
  /** Term that this replica led last, and since when, in monotonic ms. */
  #leadership = { term: 0, sinceMs: 0 };

  constructor(options: ReplicaGroupOptions) {
    this.#options = options;
    this.#bootstrapClient = new bootstrapClients.BootstrapClient(options);
    options.server.add(
      this.#getMethod(),
      (envelope: ConsensusEnvelope) =>
        this.#driver?.receive(envelope.from, envelope.message),
    );
  }

  /** Founds or joins the group; resolves once the replica runs. */
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

  /** Hands leadership over before a planned stop, within a bounded time. */
  async resign(): Promise<void> {
    for (let attempt = 0; attempt < MAX_RESIGN_ATTEMPTS; attempt += 1) {
      if (this.#driver?.getStatus().role !== "leader") return;
      this.#driver.transferLeadership();
      await clocks.sleep(this.#options.clock, RESIGN_RETRY_MS);
    }
  }

  /** Hands leadership to a voter, if it has every entry by now. */
  transferTo(to: string): void {
    this.#driver?.transferLeadership(to);
  }

  /** Whether this replica may act as leader now. */
  hasAuthority(): boolean {
    return this.#driver?.hasAuthority() ?? false;
  }

  /** How long this replica has led in its present term, in ms. */
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

  /** Term in which this replica may act as leader now; 0 where it may not. */
  getLeadTerm(): number {
    return this.hasAuthority() ? this.getTerm() : 0;
  }

  listVoters(): readonly string[] {
    return this.#driver?.listVoters() ?? [];
  }

  /** Who votes, and whether that is committed; undefined before the start. */
  getVoterSet(): consensus.VoterSet | undefined {
    return this.#driver?.getStatus().voterSet;
  }

  /** Id of the leader, as far as this replica knows. */
  getLeader(): string | undefined {
    return this.#driver?.getLeader();
  }

  /** Log index up to which the machine holds everything. */
  getAppliedIndex(): number {
    return this.#driver?.getAppliedIndex() ?? 0;
  }

  /** The answer to calls that only the leader takes. */
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

  /** Opens the data folder, again and again while its disk is full. */
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
    const {
      id,
      clock,
      dataFolder,
      stateMachine: stateMachine,
      snapshotEntries,
      onFatal,
      peers,
    } = this.#options;
    return consensus.ReplicaDriver.open({
      config: {
        id,
        voters: [],
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: HEARTBEAT_INTERVAL_MS,
        maxBatchEntries: MAX_BATCH_ENTRIES,
        seed: createElectionSeed.createElectionSeed(id, clock.getWallMs()),
      },
      clock,
      dataFolder,
      stateMachine: stateMachine,
      snapshotEntries,
      send: (to, message) =>
        peers.get(to).notify(this.#getMethod(), this.#wrapMessage(message)),
      onNotice: (notice) => this.#writeNotice(notice),
      onFatal,
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
    const envelope: ConsensusEnvelope = { from: this.#options.id, message };
    this.#envelopes.set(message, envelope);
    if (isBulk(message)) rpc.disableCompression(envelope);
    return envelope;
  }

  #runPlanner(): void {
    if (this.#isStopped) return;
    this.#updateVoters();
    this.#updateMetrics();
    this.#options.clock.startTimer(PLAN_INTERVAL_MS, () => this.#runPlanner());
  }

  #updateMetrics(): void {
    const { metrics, name } = this.#options;
    const health = this.#driver?.getHealth();
    if (health !== undefined) metrics.replicas.setStatistics(name, health);
  }

  #updateVoters(): void {
    const driver = this.#driver;
    if (driver === undefined || !driver.hasAuthority()) return;
    const input = this.#createPlanInput(driver);
    driver.setLearners(planVoters.chooseLearners(input));
    const planned = planVoters.planVoters(input);
    if (planned !== undefined) return this.#changeVoters(driver, planned);
    const { retiring, self, voters } = input;
    if (retiring.includes(self) && voters.length > 1) {
      driver.transferLeadership();
    }
  }

  #createPlanInput(
    driver: consensus.ReplicaDriver,
  ): planVoters.VoterPlanInput {
    const {
      id,
      maxVoters: maxVoters,
      minVoters: minVoters,
      directory,
      canVote,
      listRetiring,
    } = this.#options;
    const retiring = listRetiring();
    const candidates = directory.listAlive()
      .filter((box) =>
        canVote(box) && !box.isLeaving && !retiring.includes(box.id)
      )
      .map((box) => box.id);
    const { followers, commitIndex } = driver.getStatus();
    return {
      self: id,
      voters: driver.listVoters(),
      wanted: planVoters.countTargetVoters(
        minVoters,
        maxVoters,
        candidates.length,
      ),
      commitIndex,
      leadershipMs: this.getReignMs(),
      followers,
      candidates,
      failureDomains: new Map(
        directory.listAll().map((box) => [box.id, box.failureDomain]),
      ),
      retiring,
      failureTimeoutMs: VOTER_FAILURE_TIMEOUT_MS,
    };
  }

  #changeVoters(
    driver: consensus.ReplicaDriver,
    planned: readonly string[],
  ): void {
    const { log, name } = this.#options;
    log.write("info", "group.changing", {
      group: name,
      voters: driver.listVoters().join(","),
      planned: planned.join(","),
    });
    driver.changeVoters(planned);
  }
}

/** Whether a message feeds a replica that lacks much. */
function isBulk(message: consensus.DriverMessage): boolean {
  if (message.kind === "snapshotPart") return true;
  return message.kind === "appendRequest" &&
    message.entries.length >= MIN_BULK_ENTRIES;
}
