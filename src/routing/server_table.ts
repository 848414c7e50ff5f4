import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import type * as prand from "pure-rand/types/RandomGenerator";
import type * as backendServers from "../backend_server/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as control from "../control/mod.ts";
import * as csp from "../csp/mod.ts";
import * as engines from "../engine/mod.ts";
import * as chooseServer from "./choose_server.ts";
import * as prefixTables from "./prefix_table.ts";

/** Time for which a server counts as suspect after a failure, in ms. */
const SUSPECT_DURATION_MS = 1_000;
/** Slots assumed for a server that has not reported yet. */
const DEFAULT_SLOTS = 16;
const NO_SERVERS: ReadonlySet<string> = new Set();

/** Options of {@link ServerTable}. */
export interface ServerTableOptions {
  readonly clock: clocks.Clock;
  readonly client: control.ControlClient;
  /** Interval at which the servers' load reports are read, in ms. */
  readonly pollMs: number;
  /** Seed of the random choice of servers. */
  readonly seed: number;
}

/** State that a box keeps for one server. */
interface ServerRecord {
  readonly report: engines.ServerReport | undefined;
  /** Reported weight version by model. */
  readonly models: ReadonlyMap<string, number>;
  /** Requests that this box currently has in flight at the server. */
  readonly inFlight: number;
  /** Value of `inFlight` when the last report was read. */
  readonly inFlightAtReport: number;
  /** Monotonic time until which the server is suspect, in ms. */
  readonly suspectUntilMs: number;
  /** Sequence number of the last cache event that was read; 0 for none. */
  readonly cacheSequence: number;
}

const UNKNOWN_SERVER: ServerRecord = {
  report: undefined,
  models: new Map(),
  inFlight: 0,
  inFlightAtReport: 0,
  suspectUntilMs: 0,
  cacheSequence: 0,
};

/** Tracks load, health and cached prefixes of the backend servers for one box. */
export class ServerTable {
  readonly #options: ServerTableOptions;
  readonly #random: prand.RandomGenerator;
  readonly #records = new Map<string, ServerRecord>();
  readonly #prefixes = new prefixTables.PrefixTable();
  #isStopped = false;

  constructor(options: ServerTableOptions) {
    this.#options = options;
    this.#random = generator.xoroshiro128plus(options.seed);
  }

  /** Starts polling the servers' load reports until stopped. */
  start(): void {
    void csp.runProcess(() => this.#pollServers(), () => {});
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Chooses a server for a request; undefined if none is eligible. */
  choose(
    requirements: chooseServer.RoutingRequirements,
  ): backendServers.BackendServer | undefined {
    const { servers } = this.#options.client.getView().membership;
    const candidates = servers.map((server) => this.#createCandidate(server));
    return chooseServer.chooseServer(
      candidates,
      requirements,
      () => uniform.uniformFloat64(this.#random),
    );
  }

  /** Chooses a server of a service without models. */
  chooseForService(
    service: string,
    excluded: ReadonlySet<string>,
  ): backendServers.BackendServer | undefined {
    return this.choose({
      service,
      model: undefined,
      use: "caller",
      minVersion: 0,
      excluded,
      prefixHolders: NO_SERVERS,
    });
  }

  /** Chooses a server for a prompt and records it as a holder of the prefix. */
  chooseForPrompt(
    requirements: Omit<chooseServer.RoutingRequirements, "prefixHolders">,
    prompt: string,
  ): backendServers.BackendServer | undefined {
    const prefix = engines.hashPrefix(prompt);
    const prefixHolders = this.#prefixes.findServers(prefix);
    const server = this.choose({
      ...requirements,
      prefixHolders,
    });
    if (server !== undefined) this.#prefixes.add(prefix, server.id);
    return server;
  }

  /** Records that a request is sent to a server. */
  addRequest(id: string): void {
    const record = this.#getRecord(id);
    this.#records.set(id, { ...record, inFlight: record.inFlight + 1 });
  }

  /** Records the end of a request; a failure makes the server suspect. */
  removeRequest(id: string, isFailed: boolean): void {
    const record = this.#getRecord(id);
    const suspectUntilMs = isFailed
      ? this.#options.clock.getMonotonicMs() + SUSPECT_DURATION_MS
      : record.suspectUntilMs;
    this.#records.set(id, {
      ...record,
      inFlight: Math.max(0, record.inFlight - 1),
      suspectUntilMs,
    });
  }

  #getRecord(id: string): ServerRecord {
    return this.#records.get(id) ?? UNKNOWN_SERVER;
  }

  #createCandidate(
    server: backendServers.BackendServer,
  ): chooseServer.Candidate {
    const record = this.#getRecord(server.id);
    const { report } = record;
    const reported = report === undefined ? 0 : report.active + report.queued;
    const sentSince = record.inFlight - record.inFlightAtReport;
    return {
      server,
      slots: report?.slots ?? DEFAULT_SLOTS,
      expectedRequests: Math.max(record.inFlight, reported + sentSince),
      models: record.models,
      role: report?.role ?? "mixed",
      isSuspect: this.#options.clock.getMonotonicMs() < record.suspectUntilMs,
    };
  }

  *#pollServers(): csp.Step<void> {
    while (!this.#isStopped) {
      const { servers } = this.#options.client.getView().membership;
      for (const id of this.#records.keys()) {
        if (!servers.some((server) => server.id === id)) {
          this.#records.delete(id);
        }
      }
      yield* csp.waitFor(
        Promise.all(servers.map((server) => this.#pollServer(server))),
      );
      yield* csp.waitFor(
        clocks.sleep(this.#options.clock, this.#options.pollMs),
      );
    }
  }

  async #pollServer(server: backendServers.BackendServer): Promise<void> {
    await this.#readReport(server);
    if (server.kind === "language") await this.#readCacheEvents(server);
  }

  /** Reads new cache events; a gap means that evictions may have been missed. */
  async #readCacheEvents(server: backendServers.BackendServer): Promise<void> {
    const { cacheSequence } = this.#getRecord(server.id);
    const read = await engines.readCacheEvents(server, cacheSequence);
    if (read.kind === "failure") return;
    let expected = cacheSequence + 1;
    for (const { sequence, kind, prefix } of read.value) {
      if (sequence !== expected) this.#prefixes.removeServer(server.id);
      expected = sequence + 1;
      if (kind === "stored") this.#prefixes.add(prefix, server.id);
      else this.#prefixes.remove(prefix, server.id);
    }
    const record = this.#getRecord(server.id);
    this.#records.set(server.id, { ...record, cacheSequence: expected - 1 });
  }

  async #readReport(server: backendServers.BackendServer): Promise<void> {
    const read = await engines.readReport(server);
    const record = this.#getRecord(server.id);
    if (read.kind === "failure") {
      const suspectUntilMs = this.#options.clock.getMonotonicMs() +
        SUSPECT_DURATION_MS;
      this.#prefixes.removeServer(server.id);
      this.#records.set(server.id, {
        ...record,
        suspectUntilMs,
        cacheSequence: 0,
      });
      return;
    }
    const isSameProcess = record.report === undefined ||
      record.report.born === read.value.born;
    // A restarted server has an empty prefix cache and restarts its sequence.
    if (!isSameProcess) this.#prefixes.removeServer(server.id);
    this.#records.set(server.id, {
      ...record,
      cacheSequence: isSameProcess ? record.cacheSequence : 0,
      suspectUntilMs: isSameProcess ? record.suspectUntilMs : 0,
      report: read.value,
      models: new Map(Object.entries(read.value.models)),
      inFlightAtReport: record.inFlight,
    });
  }
}
