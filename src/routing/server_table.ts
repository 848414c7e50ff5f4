import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import type * as prand from "pure-rand/types/RandomGenerator";
import type * as backends from "../backend_server/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as control from "../control/mod.ts";
import * as csp from "../csp/mod.ts";
import * as engines from "../engine/mod.ts";
import * as chooseServer from "./choose_server.ts";
import * as prefixTables from "./prefix_table.ts";

/** Time for which a server that failed is avoided, in ms. */
const SUSPECT_DURATION_MS = 1_000;
const DEFAULT_SLOTS = 16;
const NO_SERVERS: ReadonlySet<string> = new Set();

/** What a table needs. */
export interface ServerTableOptions {
  readonly clock: clocks.Clock;
  readonly client: control.ControlClient;
  /** Time between reports read from each server, in ms. */
  readonly pollMs: number;
  readonly seed: number;
}

/** What a box knows of one server. */
interface ServerRecord {
  readonly report: engines.ServerReport | undefined;
  /** Weight version by model, as reported. */
  readonly models: ReadonlyMap<string, number>;
  /** Requests of this box in it now. */
  readonly inFlight: number;
  /** Requests of this box that were in it at the last report. */
  readonly inFlightAtReport: number;
  readonly suspectUntilMs: number;
  /** Last cache event that was read. */
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

/** Loads and health of the backend servers, as one box sees them. */
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

  /** Starts to read reports; runs until stopped. */
  start(): void {
    void csp.runProcess(() => this.#pollServers(), () => {});
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Chooses a server for a request. */
  choose(
    requirements: chooseServer.RoutingRequirements,
  ): backends.BackendServer | undefined {
    const { servers } = this.#options.client.getView().membership;
    const candidates = servers.map((server) => this.#createCandidate(server));
    return chooseServer.chooseServer(
      candidates,
      requirements,
      () => uniform.uniformFloat64(this.#random),
    );
  }

  /** Chooses a server of a plain service. */
  chooseForService(
    service: string,
    excluded: ReadonlySet<string>,
  ): backends.BackendServer | undefined {
    return this.choose({
      service,
      model: undefined,
      use: "caller",
      minVersion: 0,
      excluded,
      prefixHolders: NO_SERVERS,
    });
  }

  /** Chooses a server for a prompt, and notes that it will hold the prefix. */
  chooseForPrompt(
    requirements: Omit<chooseServer.RoutingRequirements, "prefixHolders">,
    prompt: string,
  ): backends.BackendServer | undefined {
    const prefix = engines.hashPrefix(prompt);
    const prefixHolders = this.#prefixes.findServers(prefix);
    const server = this.choose({
      ...requirements,
      prefixHolders: prefixHolders,
    });
    if (server !== undefined) this.#prefixes.add(prefix, server.id);
    return server;
  }

  /** Notes that a request goes to a server. */
  addRequest(id: string): void {
    const record = this.#getRecord(id);
    this.#records.set(id, { ...record, inFlight: record.inFlight + 1 });
  }

  /** Notes that a request to a server ended, and how. */
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

  #createCandidate(server: backends.BackendServer): chooseServer.Candidate {
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

  async #pollServer(server: backends.BackendServer): Promise<void> {
    await this.#readReport(server);
    if (server.kind === "language") await this.#readCacheEvents(server);
  }

  /** A gap in the events means that evictions may have been missed. */
  async #readCacheEvents(server: backends.BackendServer): Promise<void> {
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

  async #readReport(server: backends.BackendServer): Promise<void> {
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
    // A later start keeps no prompt parts, and counts its events anew.
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
