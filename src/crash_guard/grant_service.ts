import type * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";

/** How long a run is waited for whose box does not say that it ended, in ms. */
const GRANT_TIMEOUT_MS = 10_000;
/**
 * Time of a reign in which a last run is not granted, in ms: the leader before
 * may have granted it, and such runs last a few seconds.
 */
const NEW_LEADER_DELAY_MS = 2_500;

/** What the grant desk needs. */
export interface GrantServiceOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly server: rpc.MethodTable;
  readonly table: crashRecords.CrashTable;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "getTerm" | "createNotLeader"
  >;
}

/** A run that was granted. */
interface GrantedRun {
  readonly digest: crashRecords.WorkDigest;
  readonly server: registry.LifetimeKey;
  /** Until when it counts, in monotonic ms. */
  readonly expiresAtMs: number;
}

/**
 * Grants runs of work under which servers ended, while this store leads. Copies
 * that come to several boxes at once so end no more servers in sum than one.
 *
 * A server has one such run at a time: work that ran beside what ended its server
 * would lose the next one to it as well, and could not be told from it.
 */
export class GrantService {
  readonly #options: GrantServiceOptions;
  /** Runs under way by their names, oldest first. */
  readonly #grants = new Map<string, GrantedRun>();
  #term = 0;
  #termStartMs = 0;

  constructor(options: GrantServiceOptions) {
    this.#options = options;
    const { server } = options;
    server.add(
      protocol.METHODS.askGrant,
      (request: protocol.GrantRequest) => this.#handleAsk(request),
    );
    server.add(
      protocol.METHODS.endGrant,
      (end: protocol.GrantEnd) => this.#handleEnd(end),
    );
  }

  #handleAsk(request: protocol.GrantRequest): protocol.GrantReply {
    const { group, table, clock } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    this.updateTerm();
    const { digest } = request.record;
    table.merge(request.record, clock.getWallMs());
    const record = table.get(digest) ?? request.record;
    const reply = this.#decide(record, request);
    if (reply.kind === "granted") {
      const expiresAtMs = clock.getMonotonicMs() + GRANT_TIMEOUT_MS;
      this.#grants.set(request.run, {
        digest,
        server: reply.server,
        expiresAtMs: expiresAtMs,
      });
    }
    const level = reply.kind === "busy" ? "debug" : "info";
    this.#options.log.write(level, "crash.grant", {
      work: digest,
      run: request.run,
      ended: crashRecords.countConsecutiveCrashes(record),
      underWay: this.#listActiveRuns().length,
      outcome: reply.kind,
      server: reply.kind === "granted" ? reply.server : undefined,
    });
    return reply;
  }

  #decide(
    record: crashRecords.CrashRecord,
    { run, servers, mayShare }: protocol.GrantRequest,
  ): protocol.GrantReply {
    const remaining = crashRecords.MAX_CONSECUTIVE_CRASHES -
      crashRecords.countConsecutiveCrashes(record);
    if (remaining <= 0) return { kind: "barred", record };
    const runs = this.#listActiveRuns();
    // The question is repeated where its answer was lost on the way.
    const known = this.#grants.get(run);
    if (known !== undefined) return { kind: "granted", server: known.server };
    // One after the other: runs that began before the first server had ended are
    // not known here, and end further ones.
    const isActive = runs.some(({ digest }) => digest === record.digest);
    if (isActive) return { kind: "busy" };
    const termAgeMs = this.#options.clock.getMonotonicMs() - this.#termStartMs;
    if (remaining === 1 && termAgeMs < NEW_LEADER_DELAY_MS) {
      return { kind: "busy" };
    }
    const busyServers = new Set(runs.map(({ server }) => server));
    const server = servers.find((candidate) => !busyServers.has(candidate)) ??
      (mayShare ? servers[0] : undefined);
    return server === undefined
      ? { kind: "busy" }
      : { kind: "granted", server };
  }

  #listActiveRuns(): readonly GrantedRun[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [run, { expiresAtMs: untilMs }] of this.#grants) {
      if (untilMs <= nowMs) this.#grants.delete(run);
    }
    return [...this.#grants.values()];
  }

  #handleEnd({ run, record }: protocol.GrantEnd): protocol.GrantEndReply {
    const { group, table, clock } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    if (record !== undefined) table.merge(record, clock.getWallMs());
    this.#grants.delete(run);
    return { kind: "done" };
  }

  /** What another leader granted meanwhile is not known here. */
  updateTerm(): void {
    const { group, clock } = this.#options;
    const term = group.getTerm();
    if (term === this.#term || !group.hasAuthority()) return;
    this.#term = term;
    this.#termStartMs = clock.getMonotonicMs();
    this.#grants.clear();
  }
}
