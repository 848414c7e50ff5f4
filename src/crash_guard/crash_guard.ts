import type * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as httpClient from "../http_client/mod.ts";
import type * as protocol from "./protocol.ts";
import type * as recordSyncs from "./record_sync.ts";
import type * as workDescriptions from "./work_description.ts";

/** Most characters of a request path that are recorded and logged. */
const MAX_TARGET_LENGTH = 120;
/** Interval between removals of expired records, in ms. */
const CLEANUP_INTERVAL_MS = 10_000;

/** Result of asking for a grant. */
export type GrantResult =
  | Exclude<protocol.GrantReply, { readonly kind: "notLeader" }>
  /** No leader replied within the timeout. */
  | { readonly kind: "unanswered" };

/** Dependencies of a `CrashGuard`. */
export interface CrashGuardOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: Pick<metrics.FleetMetrics, "countCrashEvent">;
  readonly table: crashRecords.CrashTable;
  readonly recordSync: recordSyncs.RecordSync;
  readonly servers: Pick<registry.ServerRegistry, "markCrashed">;
  /** Checks whether a process listens on an address and port. */
  readonly findPortState: typeof httpClient.probePort;
  /** Sends a record to the other boxes. */
  readonly publish: (record: crashRecords.CrashRecord) => void;
  /**
   * Asks the store boxes' leader for a grant, with retries for `timeoutMs`;
   * undefined if none replies.
   */
  readonly askGrant: (
    request: protocol.GrantRequest,
    timeoutMs: number,
  ) => Promise<protocol.GrantReply | undefined>;
  /** Reports the end of a granted run to the store boxes' leader. */
  readonly endGrant: (end: protocol.GrantEnd) => void;
}

/** Detects work that crashes backend servers, and limits its further runs. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  #lastCleanupMs = Number.NEGATIVE_INFINITY;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Whether work must wait for the records that the store boxes keep. */
  isAwaitingRecords(): boolean {
    return this.#options.recordSync.isAwaited();
  }

  /** Waits for these records, for a limited time after the start of the box. */
  awaitRecords(): Promise<void> {
    return this.#options.recordSync.awaitRecords();
  }

  /**
   * Decides whether a piece of work may run.
   *
   * @param computeDigest Computes the digest of the work; called only if the
   * table has records, to keep the usual case cheap.
   * @returns The decision.
   */
  decideRun(
    computeDigest: () => crashRecords.WorkDigest,
  ): crashRecords.RunDecision {
    this.#removeExpired();
    const record = this.#findRecord(computeDigest);
    return crashRecords.decideRun(record, this.#getAgeMs(record));
  }

  /**
   * Creates the key of the crash that a run may cause; called before the run.
   *
   * @param server The server that the run is sent to.
   * @param computeDigest Computes the digest of the work; called only if the
   * table has records.
   * @returns The key.
   */
  createCrashKey(
    server: Pick<registry.RegisteredServer, "lifetime">,
    computeDigest: () => crashRecords.WorkDigest,
  ): crashRecords.CrashKey {
    const record = this.#findRecord(computeDigest);
    return crashRecords.createCrashKey(record, server.lifetime);
  }

  /** Finds the record of a piece of work; an empty table needs no digest. */
  #findRecord(
    computeDigest: () => crashRecords.WorkDigest,
  ): crashRecords.CrashRecord | undefined {
    const { table } = this.#options;
    return table.isEmpty() ? undefined : table.get(computeDigest());
  }

  /** Returns the time since the latest crash of a record, in ms; 0 for none. */
  #getAgeMs(record: crashRecords.CrashRecord | undefined): number {
    const nowMs = this.#options.clock.getWallMs();
    return Math.max(0, nowMs - (record?.notedAtMs ?? nowMs));
  }

  /**
   * Tells whether a server that closed its connection during a run has crashed: it
   * no longer listens on its port. Otherwise only the connection was lost.
   */
  async hasCrashed(server: registry.RegisteredServer): Promise<boolean> {
    const { findPortState } = this.#options;
    return await findPortState(server.address, server.port) === "refused";
  }

  /** Records a crash of the work if the server has crashed. */
  async recordConnectionLoss(
    server: registry.RegisteredServer,
    work: workDescriptions.WorkDescription,
    crash: crashRecords.CrashKey = server.lifetime,
    isBlamed = true,
  ): Promise<void> {
    if (!await this.hasCrashed(server)) return;
    this.recordCrash(server, work, crash, isBlamed);
  }

  /**
   * Records that a server crashed while it ran a piece of work.
   *
   * @param server The server.
   * @param work The work.
   * @param crash Key of the crash, created before the run.
   * @param isBlamed Whether it is held against the work. Otherwise all boxes only
   * pass the server over.
   */
  recordCrash(
    server: registry.RegisteredServer,
    work: workDescriptions.WorkDescription,
    crash: crashRecords.CrashKey = server.lifetime,
    isBlamed = true,
  ): void {
    const { clock, log, metrics, table, publish } = this.#options;
    const nowMs = clock.getWallMs();
    const isNew = table.merge({
      digest: work.digest,
      account: work.account,
      service: work.service,
      target: work.target.slice(0, MAX_TARGET_LENGTH),
      ended: [crash],
      cleared: isBlamed ? [] : [crash],
      notedAtMs: nowMs,
    }, nowMs);
    this.#options.servers.markCrashed(server);
    const record = table.get(work.digest);
    if (!isNew || record === undefined) return;
    metrics.countCrashEvent("noted");
    log.write("warn", "crash.noted", {
      ...createLogFields(work),
      server: server.id,
      crash,
      blamed: isBlamed,
      ended: crashRecords.countConsecutiveCrashes(record),
    });
    publish(record);
  }

  /** Clears the crashes of work that a server ran without crashing. */
  recordSuccess(work: workDescriptions.WorkDescription): void {
    const { clock, log, metrics, table, publish } = this.#options;
    const record = table.get(work.digest);
    if (
      record === undefined || crashRecords.countConsecutiveCrashes(record) === 0
    ) return;
    const cleared = { ...record, cleared: record.ended };
    table.merge(cleared, clock.getWallMs());
    metrics.countCrashEvent("cleared");
    log.write("info", "crash.cleared", {
      ...createLogFields(work),
      ended: crashRecords.countConsecutiveCrashes(record),
    });
    publish(table.get(work.digest) ?? cleared);
  }

  /**
   * Merges a record from another box or from the replicated log.
   *
   * @returns Whether it contained information that was new to this box.
   */
  mergeRemoteRecord(record: crashRecords.CrashRecord): boolean {
    const { clock, log, metrics, table } = this.#options;
    const before = table.get(record.digest);
    if (!table.merge(record, clock.getWallMs())) return false;
    this.#markCrashed(record, before);
    const after = table.get(record.digest);
    metrics.countCrashEvent("learned");
    log.write("info", "crash.learned", {
      work: record.digest,
      ended: crashRecords.countConsecutiveCrashes(after),
      before: crashRecords.countConsecutiveCrashes(before),
      ageMs: clock.getWallMs() - record.notedAtMs,
    });
    return true;
  }

  /** Excludes servers whose crash another box detected from selection. */
  #markCrashed(
    record: crashRecords.CrashRecord,
    before: crashRecords.CrashRecord | undefined,
  ): void {
    for (const crash of record.ended) {
      if (before?.ended.includes(crash)) continue;
      const lifetime = crashRecords.getCrashedLifetime(crash);
      const id = registry.getServerId(lifetime);
      this.#options.servers.markCrashed({ id, lifetime });
    }
  }

  /**
   * Asks the store boxes' leader for one more run of work that crashed servers.
   *
   * @param digest Digest of the work.
   * @param request The request without the crash record.
   * @param timeoutMs Time in which the leader may reply, in ms.
   * @returns The leader's reply, or `unanswered`.
   */
  async askGrant(
    digest: crashRecords.WorkDigest,
    request: Omit<protocol.GrantRequest, "record">,
    timeoutMs: number,
  ): Promise<GrantResult> {
    const { table, askGrant, metrics } = this.#options;
    const record = table.get(digest);
    const reply = record === undefined
      ? undefined
      : await askGrant({ ...request, record }, timeoutMs);
    if (reply === undefined || reply.kind === "notLeader") {
      return { kind: "unanswered" };
    }
    if (reply.kind === "barred") this.mergeRemoteRecord(reply.record);
    metrics.countCrashEvent(reply.kind);
    return reply;
  }

  /**
   * Chooses the server of a run of suspect work for which no grant could be had,
   * apart from other work that shares its crashes.
   *
   * @param work The work.
   * @param servers Candidate servers, best first.
   * @returns The server, or undefined if any may be used.
   */
  assignServer(
    work: workDescriptions.WorkDescription,
    servers: readonly registry.LifetimeKey[],
  ): registry.LifetimeKey | undefined {
    const { table, log } = this.#options;
    const record = table.get(work.digest);
    const server = record === undefined
      ? undefined
      : crashRecords.assignServer(table.list(), record, servers);
    log.write("info", "crash.ungranted", {
      ...createLogFields(work),
      ended: crashRecords.countConsecutiveCrashes(record),
      candidates: servers.length,
      server,
    });
    return server;
  }

  /** Reports the end of a granted run to the leader, with the current record. */
  endGrant(digest: crashRecords.WorkDigest, run: string): void {
    const record = this.#options.table.get(digest);
    this.#options.endGrant({ run, record });
  }

  /** Counts and logs work that is held back instead of being run. */
  recordHeldBack(
    work: workDescriptions.WorkDescription,
    ended: number,
    returnMs: number,
  ): void {
    this.#options.metrics.countCrashEvent("heldBack");
    this.#options.log.write("info", "crash.heldBack", {
      ...createLogFields(work),
      ended,
      returnMs: Math.round(returnMs),
    });
  }

  #removeExpired(): void {
    const { clock, table } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#lastCleanupMs < CLEANUP_INTERVAL_MS) return;
    this.#lastCleanupMs = nowMs;
    table.removeExpired(clock.getWallMs());
  }
}

function createLogFields(
  work: workDescriptions.WorkDescription,
): Readonly<Record<string, string>> {
  const { digest, requestId, account, service, target } = work;
  return {
    work: digest,
    request: requestId,
    account,
    service,
    target: target.slice(0, MAX_TARGET_LENGTH),
  };
}
