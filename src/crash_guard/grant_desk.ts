import type * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";

/** How long a run is waited for whose box does not say that it ended, in ms. */
const GRANT_MS = 10_000;
/**
 * Time of a reign in which a last run is not granted, in ms: the leader before
 * may have granted it, and such runs last a few seconds.
 */
const UNSURE_MS = 2_500;

/** What the grant desk needs. */
export interface GrantDeskOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly server: rpc.MethodTable;
  readonly table: crashRecords.CrashTable;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "getTerm" | "createNotLeader"
  >;
}

/**
 * Grants runs of work under which servers ended, while this store leads. Copies
 * that come to several boxes at once so end no more servers in sum than one.
 */
export class GrantDesk {
  readonly #options: GrantDeskOptions;
  /** Runs under way and until when they count, in monotonic ms. */
  readonly #grants = new Map<
    crashRecords.WorkDigest,
    Map<string, number>
  >();
  #term = 0;
  #termSinceMs = 0;

  constructor(options: GrantDeskOptions) {
    this.#options = options;
    const { server } = options;
    server.add(
      protocol.METHODS.askGrant,
      (request: protocol.GrantRequest) => this.#answer(request),
    );
    server.add(
      protocol.METHODS.endGrant,
      (end: protocol.GrantEnd) => this.#end(end),
    );
  }

  #answer(request: protocol.GrantRequest): protocol.GrantReply {
    const { group, table, clock } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    this.followTerm();
    const { digest } = request.record;
    table.merge(request.record, clock.getWallMs());
    const record = table.get(digest) ?? request.record;
    const reply = this.#decide(record);
    if (reply.kind === "granted") this.#grant(digest, request.run);
    this.#options.log.write("info", "crash.grant", {
      work: digest,
      run: request.run,
      ended: crashRecords.countEnded(record),
      underWay: this.#countGrants(digest),
      outcome: reply.kind,
    });
    return reply;
  }

  #decide(record: crashRecords.CrashRecord): protocol.GrantReply {
    const left = crashRecords.MAX_ENDED - crashRecords.countEnded(record);
    if (left <= 0) return { kind: "barred", record };
    if (left <= this.#countGrants(record.digest)) return { kind: "busy" };
    const reignMs = this.#options.clock.getMonotonicMs() - this.#termSinceMs;
    if (left === 1 && reignMs < UNSURE_MS) return { kind: "busy" };
    return { kind: "granted" };
  }

  #grant(digest: crashRecords.WorkDigest, run: string): void {
    const runs = this.#grants.get(digest) ?? new Map<string, number>();
    runs.set(run, this.#options.clock.getMonotonicMs() + GRANT_MS);
    this.#grants.set(digest, runs);
  }

  #countGrants(digest: crashRecords.WorkDigest): number {
    const runs = this.#grants.get(digest);
    if (runs === undefined) return 0;
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [run, untilMs] of runs) {
      if (untilMs <= nowMs) runs.delete(run);
    }
    if (runs.size === 0) this.#grants.delete(digest);
    return runs.size;
  }

  #end({ digest, run, record }: protocol.GrantEnd): protocol.GrantEndReply {
    const { group, table, clock } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    if (record !== undefined) table.merge(record, clock.getWallMs());
    this.#grants.get(digest)?.delete(run);
    return { kind: "done" };
  }

  /** What another leader granted meanwhile is not known here. */
  followTerm(): void {
    const { group, clock } = this.#options;
    const term = group.getTerm();
    if (term === this.#term || !group.hasAuthority()) return;
    this.#term = term;
    this.#termSinceMs = clock.getMonotonicMs();
    this.#grants.clear();
  }
}
