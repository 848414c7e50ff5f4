import type * as clocks from "../clock/mod.ts";
import * as lifetimes from "./lifetime.ts";
import * as registeredServers from "./registered_server.ts";

/** Retention of a server after its last report, in ms. */
const RETENTION_MS = 60_000;
/** Heartbeat intervals without a report after which a server counts as silent. */
const MISSED_HEARTBEATS = 2.6;

/** Longest silence, in ms, of a server used when all servers are silent. */
const FALLBACK_SILENCE_MS = 20_000;

/**
 * Time after a crash in which reports that the server sent before it may still
 * arrive through other boxes, in ms.
 */
const LATE_REPORT_MS = 3_000;

/** Effect of merging a report. */
export type MergeOutcome = "old" | "refreshed" | "changed";

interface KnownServer {
  readonly server: registeredServers.RegisteredServer;
  readonly lastReportMs: number;
  /**
   * Monotonic time from which a report makes an excluded server selectable again,
   * in ms; undefined if it is selectable.
   */
  readonly excludedUntilMs: number | undefined;
}

/** The server and lifetime to exclude from selection. */
export type ExcludedServer = Pick<
  registeredServers.RegisteredServer,
  "id" | "lifetime"
>;

/** Registry of backend servers, merged from heartbeats that reached any box. */
export class ServerRegistry {
  readonly #clock: clocks.Clock;
  readonly #silenceMs: number;
  /** Latest known lifetime of each server, by server id. */
  readonly #servers = new Map<string, KnownServer>();
  /** Callbacks to invoke when a lifetime is replaced, by its key. */
  readonly #watchers = new Map<lifetimes.LifetimeKey, Set<() => void>>();
  readonly #onReplaced: (former: registeredServers.RegisteredServer) => void;

  /**
   * @param heartbeatMs Heartbeat interval of the servers, in ms.
   * @param onReplaced Called with each lifetime that a later one replaces.
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
   * Merges a report; reports may arrive in any order. A report of a former
   * lifetime is ignored, and one of a later lifetime replaces the known one
   * regardless of sequence.
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
    this.#set(server, this.#servers.get(report.id)?.excludedUntilMs);
    const before = registeredServers.createContentKey(known);
    return registeredServers.createContentKey(server) === before
      ? "refreshed"
      : "changed";
  }

  /** @param excludedUntilMs Exclusion of the lifetime so far, if any. */
  #set(
    report: registeredServers.ServerReport,
    excludedUntilMs?: number,
  ): void {
    const nowMs = this.#clock.getMonotonicMs();
    const isExcluded = excludedUntilMs !== undefined && nowMs < excludedUntilMs;
    this.#servers.set(report.id, {
      server: registeredServers.createRegisteredServer(report),
      lastReportMs: nowMs,
      excludedUntilMs: isExcluded ? excludedUntilMs : undefined,
    });
  }

  /**
   * Excludes a server from selection until its next report, after another server
   * answered at its address. Ignores former lifetimes.
   */
  markUnavailable(server: ExcludedServer): void {
    this.#setExclusion(server, this.#clock.getMonotonicMs());
  }

  /**
   * Excludes a server from selection after it crashed. Reports that it sent
   * before are still under way and don't end the exclusion. Ignores former
   * lifetimes.
   */
  markCrashed(server: ExcludedServer): void {
    this.#setExclusion(server, this.#clock.getMonotonicMs() + LATE_REPORT_MS);
  }

  #setExclusion(
    { id, lifetime }: ExcludedServer,
    excludedUntilMs: number,
  ): void {
    const known = this.#servers.get(id);
    if (known?.server.lifetime !== lifetime) return;
    this.#servers.set(id, {
      ...known,
      excludedUntilMs: Math.max(
        excludedUntilMs,
        known.excludedUntilMs ?? excludedUntilMs,
      ),
    });
  }

  /**
   * Marks a server as gone, even one that is unknown. A notice without a start
   * time applies to the known lifetime; one of a former lifetime is ignored.
   *
   * @returns The latest known state of the server.
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
   * Watches a lifetime for its replacement.
   *
   * @param lifetime Key of the lifetime.
   * @param onReplaced Called at most once, when a later lifetime is known.
   * @returns A function that ends the watch.
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

  /** Returns the latest known lifetime of a server. */
  get(id: string): registeredServers.RegisteredServer | undefined {
    return this.#servers.get(id)?.server;
  }

  /**
   * Returns the ready servers of a service that reported recently. If there are
   * none, returns those that have been silent for a limited time.
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
      .filter(({ server, lastReportMs, excludedUntilMs }) =>
        server.service === service && server.phase === "ready" &&
        lastReportMs >= sinceMs && excludedUntilMs === undefined
      )
      .map(({ server }) => server);
  }

  /** Returns all retained servers, including gone ones. */
  listAll(): readonly registeredServers.RegisteredServer[] {
    const nowMs = this.#clock.getMonotonicMs();
    for (const [id, { lastReportMs: heardAtMs }] of this.#servers) {
      if (nowMs - heardAtMs > RETENTION_MS) this.#servers.delete(id);
    }
    return [...this.#servers.values()].map(({ server }) => server);
  }
}
