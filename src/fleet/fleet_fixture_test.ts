import * as clocks from "../clock/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as results from "../results/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as failureRecorders from "./failure_recorder.ts";
import * as fleetGossips from "./fleet_gossip.ts";

/** Interval of a server's heartbeats, in ms. */
export const HEARTBEAT_MS = 1_200;
const STEP_MS = 20;

type Handler = (params: unknown) => unknown;

/** Simulated fleet in one process, with network partitions and cut links. */
export class FakeFleet {
  readonly clock = new clocks.FakeClock(1_000);
  readonly #methods = new Map<string, Map<string, Handler>>();
  readonly #stopped = new Set<string>();
  /** Groups of ids that can't reach each other; empty for no partition. */
  partitions: readonly (readonly string[])[] = [];
  /** Directed links that deliver nothing, as `FROM>TO`. */
  cutLinks: ReadonlySet<string> = new Set();
  /** Boxes that answer no calls, which then time out. */
  silentIds: ReadonlySet<string> = new Set();
  readonly boxes = new Map<string, FakeBox>();
  #deliveredCount = 0;
  readonly #callCounts = new Map<string, number>();

  /** Starts a box with empty state. */
  start(id: string, isCore: boolean): FakeBox {
    this.#stopped.delete(id);
    const methods = new Map<string, Handler>();
    this.#methods.set(id, methods);
    const box = new FakeBox(this, id, isCore, methods);
    this.boxes.set(id, box);
    box.gossip.start();
    return box;
  }

  /** Number of messages and calls delivered so far. */
  countDelivered(): number {
    return this.#deliveredCount;
  }

  /** Stops a box without notice to the others. */
  kill(id: string): void {
    this.boxes.get(id)?.gossip.stop();
    this.boxes.delete(id);
    this.#stopped.add(id);
  }

  getPeer(to: string, from = to): rpc.Peer {
    return {
      notify: (method, params) => {
        if (this.#canReach(from, to)) this.#deliver(to, method, params);
      },
      call: async (method, params, timeoutMs) => {
        if (this.silentIds.has(to)) await this.#awaitTimeout(to, timeoutMs);
        if (!this.#canReach(from, to)) throw new Error(`${to} is cut off`);
        return await this.#deliver(to, method, params);
      },
    };
  }

  #awaitTimeout(id: string, timeoutMs: number): Promise<never> {
    return new Promise((_, reject) =>
      this.clock.startTimer(
        timeoutMs,
        () => reject(new Error(`${id} did not answer`)),
      )
    );
  }

  #canReach(from: string, to: string): boolean {
    if (this.#stopped.has(to) || !this.#methods.has(to)) return false;
    if (this.cutLinks.has(`${from}>${to}`)) return false;
    const partition = this.partitions.find((ids) => ids.includes(from));
    return partition === undefined || partition.includes(to);
  }

  /** Number of messages and calls of a method that were delivered so far. */
  countCalls(method: string): number {
    return this.#callCounts.get(method) ?? 0;
  }

  #deliver(to: string, method: string, params: object) {
    const handler = this.#methods.get(to)?.get(method);
    if (this.#stopped.has(to) || handler === undefined) {
      throw new Error(`${to} is down`);
    }
    this.#deliveredCount += 1;
    this.#callCounts.set(method, this.countCalls(method) + 1);
    const copy = JSON.parse(JSON.stringify(params));
    return JSON.parse(JSON.stringify(handler(copy) ?? null));
  }

  /** Advances the clock in small steps and runs pending callbacks after each. */
  async advanceBy(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** State of one simulated box, and its gossip with the others. */
export class FakeBox {
  readonly servers: registry.ServerRegistry;
  readonly directory: boxDirectories.BoxDirectory;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly gossip: fleetGossips.FleetGossip;
  readonly crashTable = new crashRecords.CrashTable();
  readonly recordSync: crashGuards.RecordSync;
  isLeaving = false;
  /** Configuration texts that this box can't decode. */
  unreadableTexts: ReadonlySet<string> = new Set();

  constructor(
    fleet: FakeFleet,
    id: string,
    isCore: boolean,
    methods: Map<string, Handler>,
  ) {
    const { clock } = fleet;
    const log = new logs.Log(id, "error", () => {});
    const startedAtMs = clock.getWallMs();
    this.recordSync = new crashGuards.RecordSync(clock, { write: () => {} });
    this.servers = new registry.ServerRegistry(clock, HEARTBEAT_MS);
    this.directory = new boxDirectories.BoxDirectory(clock);
    const boxMetrics = new metrics.FleetMetrics();
    this.configuration = new trafficConfig.ConfigurationHolder({
      clock,
      log,
      metrics: boxMetrics.configuration,
      decode: (text) =>
        this.unreadableTexts.has(text)
          ? results.createFailure("malformedBody", "Cannot read it")
          : results.createOk({ routes: [] } as never),
    });
    this.gossip = new fleetGossips.FleetGossip({
      clock,
      log,
      failures: new failureRecorders.FailureRecorder({
        log,
        metrics: boxMetrics,
      }),
      directory: this.directory,
      servers: this.servers,
      configuration: this.configuration,
      crashTable: this.crashTable,
      recordSync: this.recordSync,
      learnCrash: (record) => this.crashTable.merge(record, clock.getWallMs()),
      peers: { get: (to) => fleet.getPeer(to, id) },
      server: {
        add: (method, handler) => methods.set(method, handler as Handler),
      },
      seeds: ["c1", "c2", "c3"],
      describeSelf: (): Omit<boxRecords.BoxRecord, "sequence"> => ({
        id,
        name: id,
        failureDomain: id,
        region: "r",
        peerPort: 1,
        callerAddress: `${id}:1`,
        isCore,
        isStore: false,
        isReady: true,
        isLeaving: this.isLeaving,
        ledTerm: 0,
        startedAtMs,
      }),
    });
  }

  /** Merges and propagates a heartbeat as an entry box does. */
  handleHeartbeat(report: registry.RegisteredServer): void {
    const outcome = this.servers.merge(report);
    const merged = this.servers.get(report.id) ?? report;
    if (outcome === "changed") this.gossip.publishServer(merged);
    if (outcome === "refreshed") this.gossip.refreshServer(merged);
  }

  /** Ids of the ready servers that this box knows, sorted. */
  listReadyServers(): readonly string[] {
    return this.servers.listReady("s").map((server) => server.id).toSorted();
  }
}

/** Creates the report of a ready server. */
export function createReport(
  id: string,
  sequence: number,
): registry.RegisteredServer {
  return serverFixtures.createServer(id, { service: "s", sequence });
}
