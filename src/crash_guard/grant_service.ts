import type * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as protocol from "./protocol.ts";

/** Time until a grant expires whose box reports no end of the run, in ms. */
const GRANT_TIMEOUT_MS = 10_000;
/**
 * Time after a leader's election during which it grants no last run, in ms. The
 * previous leader may have granted one that is still active.
 */
const NEW_LEADER_DELAY_MS = 2_500;

/** Dependencies of a `GrantService`. */
export interface GrantServiceOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly server: rpc.MethodRegistry;
  /** Records known to this box. */
  readonly table: crashRecords.CrashTable;
  /** State machine of the replicated log, which keeps records. */
  readonly machine: Pick<submissions.SubmissionStateMachine, "getCrashes">;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "getTerm" | "createNotLeader"
  >;
}

/** A run that was granted and has not ended. */
interface GrantedRun {
  readonly digest: crashRecords.WorkDigest;
  readonly server: registry.LifetimeKey;
  /** Monotonic time at which the grant expires, in ms. */
  readonly expiresAtMs: number;
}

/**
 * Grants runs of work that crashed servers, while this store box leads. Copies of
 * the same work on several boxes thus share one limit of crashes.
 *
 * Each server gets one such run at a time where possible, so that a crash can be
 * attributed to the work that caused it.
 */
export class GrantService {
  readonly #options: GrantServiceOptions;
  /** Active runs by id, oldest first. */
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
    const { group, clock } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    this.updateTerm();
    const { digest } = request.record;
    const record = this.#mergeRecord(request.record);
    const reply = this.#decide(record, request);
    if (reply.kind === "granted") {
      const expiresAtMs = clock.getMonotonicMs() + GRANT_TIMEOUT_MS;
      this.#grants.set(request.run, {
        digest,
        server: reply.server,
        expiresAtMs,
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

  /**
   * Merges a box's record with those of this box and of the replicated log, which
   * a new leader has applied before it has copied them to its table.
   *
   * @param record The record of the asking box.
   * @returns All that is known of the work.
   */
  #mergeRecord(record: crashRecords.CrashRecord): crashRecords.CrashRecord {
    const { table, machine, clock } = this.#options;
    const nowMs = clock.getWallMs();
    const kept = machine.getCrashes().get(record.digest);
    if (kept !== undefined) table.merge(kept, nowMs);
    table.merge(record, nowMs);
    return table.get(record.digest) ?? record;
  }

  #decide(
    record: crashRecords.CrashRecord,
    { run, servers, mayShare }: protocol.GrantRequest,
  ): protocol.GrantReply {
    const remaining = crashRecords.MAX_CONSECUTIVE_CRASHES -
      crashRecords.countConsecutiveCrashes(record);
    if (remaining <= 0) return { kind: "barred", record };
    const runs = this.#listActiveRuns();
    // The client repeats a request whose reply was lost.
    const known = this.#grants.get(run);
    if (known !== undefined) return { kind: "granted", server: known.server };
    // Serializes runs of the same work. Runs that began before its first crash
    // are unknown here and may crash further servers.
    const isActive = runs.some(({ digest }) => digest === record.digest);
    if (isActive) return { kind: "busy" };
    const termAgeMs = this.#options.clock.getMonotonicMs() - this.#termStartMs;
    if (remaining === 1 && termAgeMs < NEW_LEADER_DELAY_MS) {
      return { kind: "busy" };
    }
    const [server] = servers.toSorted((a, b) =>
      countRuns(runs, a) - countRuns(runs, b)
    );
    if (server === undefined) return { kind: "busy" };
    const isFree = countRuns(runs, server) === 0;
    return isFree || mayShare ? { kind: "granted", server } : { kind: "busy" };
  }

  #listActiveRuns(): readonly GrantedRun[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [run, { expiresAtMs }] of this.#grants) {
      if (expiresAtMs <= nowMs) this.#grants.delete(run);
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

  /** Discards all grants when this replica becomes leader in a new term. */
  updateTerm(): void {
    const { group, clock } = this.#options;
    const term = group.getTerm();
    if (term === this.#term || !group.hasAuthority()) return;
    this.#term = term;
    this.#termStartMs = clock.getMonotonicMs();
    this.#grants.clear();
  }
}

function countRuns(
  runs: readonly GrantedRun[],
  server: registry.LifetimeKey,
): number {
  return runs.filter((run) => run.server === server).length;
}
