import type * as clocks from "../clock/mod.ts";
import * as lifetimes from "./lifetime.ts";
import * as registeredServers from "./registered_server.ts";

/** How long a server that has gone, or fell silent, is remembered, in ms. */
const RETENTION_MS = 60_000;
/** Heartbeats that may be missed before a server is taken for dead. */
const MISSED_HEARTBEATS = 2.6;

/** A server silent for longer is not even tried where no other is left, in ms. */
const FALLBACK_SILENCE_MS = 20_000;

/** What a merged report changed. */
export type MergeOutcome = "old" | "refreshed" | "changed";

interface KnownServer {
  readonly server: registeredServers.RegisteredServer;
  readonly lastReportMs: number;
  /** Whether another server answered at its address since. */
  readonly isUnavailable: boolean;
}

/** Backend servers as their heartbeats tell, wherever these arrived. */
export class ServerRegistry {
  readonly #clock: clocks.Clock;
  readonly #silenceMs: number;
  /**
   * The latest start known of each server, by its id: a former one is replaced
   * as soon as a later one is heard of, and is never taken back.
   */
  readonly #servers = new Map<string, KnownServer>();
  /** Told when a start is replaced, by its key. */
  readonly #watchers = new Map<lifetimes.LifetimeKey, Set<() => void>>();
  readonly #onReplaced: (former: registeredServers.RegisteredServer) => void;

  /**
   * @param heartbeatMs Time between two heartbeats of a server, in ms.
   * @param onReplaced Told of each start that a later one replaces.
   */
  constructor(
    clock: clocks.Clock,
    heartbeatMs: number,
    onReplaced: (former: registeredServers.RegisteredServer) => void = () => {},
  ) {
    this.#clock = clock;
    this.#onReplaced = onReplaced;
    this.#silenceMs = heartbeatMs * MISSED_HEARTBEATS;
  }

  /**
   * Takes a report, whatever order reports come in. One of a former start
   * changes nothing, and one of a later start holds whatever its sequence.
   */
  merge(report: registeredServers.ServerReport): MergeOutcome {
    const known = this.#servers.get(report.id);
    if (known === undefined) {
      this.#set(report);
      return "changed";
    }
    switch (lifetimes.compareLifetimes(report, known.server)) {
      case "former":
        return "old";
      case "same":
        return this.#refresh(known.server, report);
      case "later":
        this.#set(report);
        this.#notifyReplaced(known.server);
        return "changed";
    }
  }

  #refresh(
    known: registeredServers.RegisteredServer,
    report: registeredServers.ServerReport,
  ): MergeOutcome {
    const server = registeredServers.mergeReports(known, report);
    const isNews = server.sequence > known.sequence ||
      server.phase !== known.phase;
    if (!isNews) return "old";
    this.#set(server);
    const before = registeredServers.createContentKey(known);
    return registeredServers.createContentKey(server) === before
      ? "refreshed"
      : "changed";
  }

  #set(report: registeredServers.ServerReport): void {
    this.#servers.set(report.id, {
      server: registeredServers.createRegisteredServer(report),
      lastReportMs: this.#clock.getMonotonicMs(),
      isUnavailable: false,
    });
  }

  /**
   * Notes that another server answered at the address of a start: it is passed
   * over until it is heard of again.
   * A start that is not the latest of its id is ignored.
   */
  markUnavailable(
    { id, lifetime }: Pick<
      registeredServers.RegisteredServer,
      "id" | "lifetime"
    >,
  ): void {
    const known = this.#servers.get(id);
    if (known?.server.lifetime !== lifetime) return;
    this.#servers.set(id, { ...known, isUnavailable: true });
  }

  /**
   * Notes that a server has gone, even one that was never heard of. A notice
   * that names no start is of the one that is known.
   *
   * @returns What is known of the server now; a notice of a former start
   * changes nothing.
   */
  markGone(
    notice: lifetimes.Lifetime,
  ): registeredServers.RegisteredServer {
    const known = this.#servers.get(notice.id)?.server;
    const born = notice.born ?? known?.born;
    const gone = registeredServers.createGoneReport({ id: notice.id, born });
    const isKnown = known !== undefined &&
      lifetimes.compareLifetimes(gone, known) === "same";
    this.merge(isKnown ? { ...known, phase: "gone" } : gone);
    return this.#servers.get(notice.id)?.server ??
      registeredServers.createRegisteredServer(gone);
  }

  /**
   * Watches one start of a server.
   *
   * @param lifetime Key of the start.
   * @param onReplaced Told, once at most, when a later start is known.
   * @returns Ends the watch.
   */
  watch(lifetime: lifetimes.LifetimeKey, onReplaced: () => void): () => void {
    const watchers = this.#watchers.get(lifetime) ?? new Set();
    watchers.add(onReplaced);
    this.#watchers.set(lifetime, watchers);
    return () => {
      watchers.delete(onReplaced);
      if (watchers.size > 0) return;
      if (this.#watchers.get(lifetime) === watchers) {
        this.#watchers.delete(lifetime);
      }
    };
  }

  #notifyReplaced(former: registeredServers.RegisteredServer): void {
    this.#onReplaced(former);
    const watchers = this.#watchers.get(former.lifetime);
    this.#watchers.delete(former.lifetime);
    for (const onReplaced of watchers ?? []) onReplaced();
  }

  /** Gives the latest start known of a server. */
  get(id: string): registeredServers.RegisteredServer | undefined {
    return this.#servers.get(id)?.server;
  }

  /**
   * Servers of a service that take new work and were heard lately; where none
   * was, those that may still run though their heartbeats do not arrive.
   */
  listReady(service: string): readonly registeredServers.RegisteredServer[] {
    const heard = this.#listReadySince(service, this.#silenceMs);
    if (heard.length > 0) return heard;
    return this.#listReadySince(service, FALLBACK_SILENCE_MS);
  }

  #listReadySince(
    service: string,
    withinMs: number,
  ): readonly registeredServers.RegisteredServer[] {
    const sinceMs = this.#clock.getMonotonicMs() - withinMs;
    return [...this.#servers.values()]
      .filter(({ server, lastReportMs: heardAtMs, isUnavailable: isAbsent }) =>
        server.service === service && server.phase === "ready" &&
        heardAtMs >= sinceMs && !isAbsent
      )
      .map(({ server }) => server);
  }

  /** All remembered servers, those that have gone among them. */
  listAll(): readonly registeredServers.RegisteredServer[] {
    const nowMs = this.#clock.getMonotonicMs();
    for (const [id, { lastReportMs: heardAtMs }] of this.#servers) {
      if (nowMs - heardAtMs > RETENTION_MS) this.#servers.delete(id);
    }
    return [...this.#servers.values()].map(({ server }) => server);
  }
}
