import type * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as httpClient from "../http_client/mod.ts";
import type * as protocol from "./protocol.ts";

/** Characters of a path that a record shows to operators. */
const MAX_TARGET_LENGTH = 120;
/** Between two looks for records that are too old, in ms. */
const CLEANUP_INTERVAL_MS = 10_000;

/** A piece of work, and what operators are told of it. */
export interface WorkDescription {
  readonly digest: crashRecords.WorkDigest;
  /** Request or item that carried it. */
  readonly requestId: string;
  /** Client account; empty where none sent it. */
  readonly account: string;
  readonly service: string;
  /** Path with its query. */
  readonly target: string;
}

/** What became of a question for a grant. */
export type GrantResult =
  | Exclude<protocol.GrantReply, { readonly kind: "notLeader" }>
  /** No leader answered in time. */
  | { readonly kind: "unanswered" };

/** What the crash guard needs. */
export interface CrashGuardOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: Pick<metrics.FleetMetrics, "countCrash">;
  readonly table: crashRecords.CrashTable;
  readonly servers: Pick<registry.ServerRegistry, "markUnavailable">;
  /** Tells whether something listens at an address. */
  readonly findPortState: typeof httpClient.findPortState;
  /** Tells the other boxes. */
  readonly publish: (record: crashRecords.CrashRecord) => void;
  /** Asks the leader of the stores. */
  readonly askGrant: (
    request: protocol.GrantRequest,
  ) => Promise<protocol.GrantReply | undefined>;
  /** Tells the leader of the stores, for as long as it takes. */
  readonly endGrant: (end: protocol.GrantEnd) => void;
}

/** What a box knows of work under which servers end. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  #lastCleanupMs = Number.NEGATIVE_INFINITY;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /**
   * Judges a piece of work.
   *
   * @param computeDigest Computes its digest; not called while nothing is known
   * against any work, so that this costs nothing then.
   */
  decideRun(
    computeDigest: () => crashRecords.WorkDigest,
  ): crashRecords.RunDecision {
    const { clock, table } = this.#options;
    const nowMs = clock.getWallMs();
    this.#removeExpired();
    const record = table.isEmpty() ? undefined : table.get(computeDigest());
    const sinceMs = Math.max(0, nowMs - (record?.notedAtMs ?? nowMs));
    return crashRecords.decideRun(record, sinceMs);
  }

  /**
   * Notes that a server closed the connection in the midst of a run. A process
   * that ended listens no more; one that only closed or reset a connection does.
   */
  async recordConnectionLoss(
    server: registry.RegisteredServer,
    name: WorkDescription,
  ): Promise<void> {
    const { findPortState } = this.#options;
    const state = await findPortState(server.address, server.port);
    if (state === "refused") this.recordCrash(server, name);
  }

  /** Notes that a server ended while it ran a piece of work. */
  recordCrash(server: registry.RegisteredServer, name: WorkDescription): void {
    const { clock, log, metrics, table, publish } = this.#options;
    const nowMs = clock.getWallMs();
    const isNew = table.merge({
      digest: name.digest,
      account: name.account,
      service: name.service,
      target: name.target.slice(0, MAX_TARGET_LENGTH),
      ended: [server.lifetime],
      cleared: [],
      notedAtMs: nowMs,
    }, nowMs);
    this.#options.servers.markUnavailable(server);
    const record = table.get(name.digest);
    if (!isNew || record === undefined) return;
    metrics.countCrash("noted");
    log.write("warn", "crash.noted", {
      ...createLogFields(name),
      server: server.id,
      ended: crashRecords.countConsecutiveCrashes(record),
    });
    publish(record);
  }

  /** Notes that a run of a piece of work ended and its server went on. */
  recordSuccess(name: WorkDescription): void {
    const { clock, log, metrics, table, publish } = this.#options;
    const record = table.get(name.digest);
    if (
      record === undefined || crashRecords.countConsecutiveCrashes(record) === 0
    ) return;
    const cleared = { ...record, cleared: record.ended };
    table.merge(cleared, clock.getWallMs());
    metrics.countCrash("cleared");
    log.write("info", "crash.cleared", {
      ...createLogFields(name),
      ended: crashRecords.countConsecutiveCrashes(record),
    });
    publish(table.get(name.digest) ?? cleared);
  }

  /**
   * Takes what another box or the stores' log knows.
   *
   * @returns Whether this box did not know it.
   */
  mergeRemoteRecord(record: crashRecords.CrashRecord): boolean {
    const { clock, log, metrics, table } = this.#options;
    const before = table.get(record.digest);
    if (!table.merge(record, clock.getWallMs())) return false;
    this.#markUnavailable(record, before);
    const after = table.get(record.digest);
    metrics.countCrash("learned");
    log.write("info", "crash.learned", {
      work: record.digest,
      ended: crashRecords.countConsecutiveCrashes(after),
      before: crashRecords.countConsecutiveCrashes(before),
      ageMs: clock.getWallMs() - record.notedAtMs,
    });
    return true;
  }

  /** Servers that ended elsewhere are passed over here too. */
  #markUnavailable(
    record: crashRecords.CrashRecord,
    before: crashRecords.CrashRecord | undefined,
  ): void {
    for (const lifetime of record.ended) {
      if (before?.ended.includes(lifetime)) continue;
      const id = registry.getServerId(lifetime);
      this.#options.servers.markUnavailable({ id, lifetime });
    }
  }

  /**
   * Asks the leader of the stores for one run more.
   *
   * @param digest Work under which servers ended.
   * @param question What else the leader needs to know.
   */
  async askGrant(
    digest: crashRecords.WorkDigest,
    question: Omit<protocol.GrantRequest, "record">,
  ): Promise<GrantResult> {
    const { table, askGrant, metrics } = this.#options;
    const record = table.get(digest);
    const reply = record === undefined
      ? undefined
      : await askGrant({ ...question, record });
    if (reply === undefined || reply.kind === "notLeader") {
      return { kind: "unanswered" };
    }
    if (reply.kind === "barred") this.mergeRemoteRecord(reply.record);
    metrics.countCrash(reply.kind);
    return reply;
  }

  /** Tells the leader that a granted run has ended, with what is known now. */
  endGrant(digest: crashRecords.WorkDigest, run: string): void {
    const record = this.#options.table.get(digest);
    this.#options.endGrant({ run, record });
  }

  /** Counts and logs a request that is answered without being sent. */
  recordHeldBack(name: WorkDescription, ended: number, returnMs: number): void {
    this.#options.metrics.countCrash("heldBack");
    this.#options.log.write("info", "crash.heldBack", {
      ...createLogFields(name),
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
  name: WorkDescription,
): Readonly<Record<string, string>> {
  const { digest, requestId: carrier, account, service, target } = name;
  return {
    work: digest,
    request: carrier,
    account,
    service,
    target: target.slice(0, MAX_TARGET_LENGTH),
  };
}
