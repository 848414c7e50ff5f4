import type * as clocks from "../clock/mod.ts";
import * as registeredServers from "./registered_server.ts";

/** How long a server that has gone, or fell silent, is remembered, in ms. */
const FORGET_MS = 60_000;
/** Heartbeats that may be missed before a server is taken for dead. */
const MISSED_HEARTBEATS = 2.6;

/** A server silent for longer is not even tried where no other is left, in ms. */
const HOPELESS_MS = 20_000;

/** What a merged report changed. */
export type MergeOutcome = "old" | "refreshed" | "changed";

interface KnownServer {
  readonly server: registeredServers.RegisteredServer;
  readonly heardAtMs: number;
}

/** Backend servers as their heartbeats tell, wherever these arrived. */
export class ServerRegistry {
  readonly #clock: clocks.Clock;
  readonly #silenceMs: number;
  readonly #servers = new Map<string, KnownServer>();

  /** @param heartbeatMs Time between two heartbeats of a server, in ms. */
  constructor(clock: clocks.Clock, heartbeatMs: number) {
    this.#clock = clock;
    this.#silenceMs = heartbeatMs * MISSED_HEARTBEATS;
  }

  /** Takes a report, whatever order reports come in. */
  merge(report: registeredServers.RegisteredServer): MergeOutcome {
    const heardAtMs = this.#clock.getMonotonicMs();
    const known = this.#servers.get(report.id);
    if (known === undefined) {
      this.#servers.set(report.id, { server: report, heardAtMs });
      return "changed";
    }
    const server = registeredServers.mergeServers(known.server, report);
    const isNews = server.sequence > known.server.sequence ||
      server.phase !== known.server.phase;
    if (!isNews) return "old";
    this.#servers.set(report.id, { server, heardAtMs });
    const before = registeredServers.describeContent(known.server);
    return registeredServers.describeContent(server) === before
      ? "refreshed"
      : "changed";
  }

  /** Notes that a server has gone, even one that was never heard of. */
  markGone(id: string): registeredServers.RegisteredServer {
    const known = this.#servers.get(id);
    const server: registeredServers.RegisteredServer = known === undefined
      ? registeredServers.createGone(id)
      : { ...known.server, phase: "gone" };
    const heardAtMs = this.#clock.getMonotonicMs();
    this.#servers.set(id, { server, heardAtMs });
    return server;
  }

  get(id: string): registeredServers.RegisteredServer | undefined {
    return this.#servers.get(id)?.server;
  }

  /**
   * Servers of a service that take new work and were heard lately; where none
   * was, those that may still run though their heartbeats do not arrive.
   */
  listReady(service: string): readonly registeredServers.RegisteredServer[] {
    const heard = this.#listHeard(service, this.#silenceMs);
    if (heard.length > 0) return heard;
    return this.#listHeard(service, HOPELESS_MS);
  }

  #listHeard(
    service: string,
    withinMs: number,
  ): readonly registeredServers.RegisteredServer[] {
    const sinceMs = this.#clock.getMonotonicMs() - withinMs;
    return [...this.#servers.values()]
      .filter(({ server, heardAtMs }) =>
        server.service === service && server.phase === "ready" &&
        heardAtMs >= sinceMs
      )
      .map(({ server }) => server);
  }

  /** All remembered servers, those that have gone among them. */
  listAll(): readonly registeredServers.RegisteredServer[] {
    const nowMs = this.#clock.getMonotonicMs();
    for (const [id, { heardAtMs }] of this.#servers) {
      if (nowMs - heardAtMs > FORGET_MS) this.#servers.delete(id);
    }
    return [...this.#servers.values()].map(({ server }) => server);
  }
}
