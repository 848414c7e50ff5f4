import * as crypto from "node:crypto";
import * as accounts from "../client_account/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";

/** Delay between grant requests while other runs hold the grant, in ms. */
const GRANT_RETRY_MS = 40;
/** Maximum number of crashes with which work may run without a grant. */
const MAX_ENDED_WITHOUT_GRANT = 1;

/**
 * Least time after which work with one crash may share a server with other such
 * work, in ms. When a failure domain is lost there is more such work than servers,
 * and little of it caused a crash.
 */
const MIN_SHARE_AFTER_MS = 80;
/** Least time in which the leader may reply to a grant request, in ms. */
const MIN_ASK_MS = 200;
/**
 * Part of the time left to the latency target that work spends on having a server
 * to itself: on the leader's reply, and before it shares one. The rest is for its
 * run.
 */
const GRANT_TIME_FRACTION = 0.5;
/** Retry delay of the caller while the same work runs elsewhere, in ms. */
const BUSY_RETRY_AFTER_MS = 500;

/** Verdict that the work must not be sent now. */
export type HeldBack = Extract<
  crashRecords.RunDecision,
  { readonly kind: "heldBack" }
>;

/** Permission to send the work. */
export interface Permitted {
  readonly kind: "permitted";
  /** Server to send to; undefined if any may be used. */
  readonly server: registry.LifetimeKey | undefined;
}

const FREE: crashRecords.RunDecision = { kind: "free" };
const ANY_SERVER: Permitted = { kind: "permitted", server: undefined };

/** Dependencies of a `JobCrashGuard`. */
export interface JobCrashGuardOptions {
  readonly clock: clocks.Clock;
  readonly crashGuard: Pick<
    crashGuards.CrashGuard,
    | "decideRun"
    | "isAwaitingRecords"
    | "awaitRecords"
    | "createCrashKey"
    | "recordConnectionLoss"
    | "recordCrash"
    | "recordSuccess"
    | "recordHeldBack"
    | "askGrant"
    | "assignServer"
    | "endGrant"
  >;
}

/** Applies the crash guard to the work of one job, which may crash servers. */
export class JobCrashGuard {
  readonly #options: JobCrashGuardOptions;
  readonly #job: jobs.ForwardJob;
  #digest: crashRecords.WorkDigest | undefined;
  /** Id of the granted run in progress, if any. */
  #grantedRun: string | undefined;

  constructor(options: JobCrashGuardOptions, job: jobs.ForwardJob) {
    this.#options = options;
    this.#job = job;
  }

  /** Whether the work must wait until this box knows of earlier crashes. */
  isAwaitingRecords(): boolean {
    if (this.#job.isOwed === true) return false;
    return this.#options.crashGuard.isAwaitingRecords();
  }

  /** Waits until this box knows of earlier crashes, or no longer waits. */
  awaitRecords(): Promise<void> {
    return this.#options.crashGuard.awaitRecords();
  }

  /** Returns whether the work may be sent, by the crashes known to this box. */
  getVerdict(): crashRecords.RunDecision {
    if (this.#job.isOwed === true) return FREE;
    return this.#options.crashGuard.decideRun(() => this.getDigest());
  }

  /** Returns the digest of the work, computed on first use. */
  getDigest(): crashRecords.WorkDigest {
    const { sender, method, target, headers, body, isOwed } = this.#job;
    const host = String(headers["host"] ?? "");
    this.#digest ??= crashRecords.computeWorkDigest({
      sender,
      method,
      host,
      target,
      body,
      ...(isOwed === undefined ? {} : { isOwed }),
    });
    return this.#digest;
  }

  /**
   * Requests a grant for one more run of suspect work, and retries while other
   * runs hold it, until the latency target is near. Work with only one crash is
   * then permitted without a grant, and likewise if no leader answers, because a
   * single crash is most often unrelated to the work.
   *
   * @param listServers Lists the servers that may run the work, best first.
   * @returns The permission, or why the work is held back.
   */
  async requestGrant(
    listServers: () => readonly registry.LifetimeKey[],
  ): Promise<Permitted | HeldBack> {
    const { clock, crashGuard } = this.#options;
    const shareAtMs = clock.getMonotonicMs() +
      this.#computeGrantTimeMs(MIN_SHARE_AFTER_MS);
    for (;;) {
      const verdict = this.getVerdict();
      if (verdict.kind === "free") return ANY_SERVER;
      if (verdict.kind === "heldBack") return verdict;
      const servers = listServers();
      // The caller handles the lack of servers as for any other job.
      if (servers.length === 0) return ANY_SERVER;
      const mayRunWithoutGrant = verdict.ended <= MAX_ENDED_WITHOUT_GRANT;
      const run = crypto.randomUUID();
      const answer = await crashGuard.askGrant(this.getDigest(), {
        run,
        servers,
        mayShare: mayRunWithoutGrant && clock.getMonotonicMs() >= shareAtMs,
      }, this.#computeGrantTimeMs(MIN_ASK_MS));
      switch (answer.kind) {
        case "granted":
          this.#grantedRun = run;
          return { kind: "permitted", server: answer.server };
        case "unanswered":
          // The leader may have granted the run and lost only the reply.
          crashGuard.endGrant(this.getDigest(), run);
          if (mayRunWithoutGrant) return this.#decideWithoutGrant(servers);
          break;
        case "barred":
        case "busy":
          break;
      }
      if (this.#isTargetNear()) {
        if (mayRunWithoutGrant) return this.#decideWithoutGrant(servers);
        const { ended } = verdict;
        return { kind: "heldBack", ended, returnMs: BUSY_RETRY_AFTER_MS };
      }
      await clocks.sleep(clock, GRANT_RETRY_MS);
    }
  }

  /** Returns how long to wait from now on for a server without other work, in ms. */
  #computeGrantTimeMs(minMs: number): number {
    const nowMs = this.#options.clock.getMonotonicMs();
    const remainingMs = this.#job.targetAtMs - nowMs;
    return Math.max(minMs, remainingMs * GRANT_TIME_FRACTION);
  }

  #decideWithoutGrant(servers: readonly registry.LifetimeKey[]): Permitted {
    const { crashGuard } = this.#options;
    const server = crashGuard.assignServer(this.#describeWork(), servers);
    return { kind: "permitted", server };
  }

  /** Whether the next retry would miss the target, or the job was cancelled. */
  #isTargetNear(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    return nowMs + GRANT_RETRY_MS >= this.#job.targetAtMs ||
      this.#job.cancellation.isCancelled();
  }

  /** Releases the grant of the run in progress, if any. */
  releaseGrant(): void {
    if (this.#grantedRun === undefined) return;
    this.#options.crashGuard.endGrant(this.getDigest(), this.#grantedRun);
    this.#grantedRun = undefined;
  }

  /** Returns the key of the crash that an attempt at a server may cause. */
  createCrashKey(server: registry.RegisteredServer): crashRecords.CrashKey {
    return this.#options.crashGuard.createCrashKey(
      server,
      () => this.getDigest(),
    );
  }

  /**
   * Records a crash or a success of the work before the next attempt.
   *
   * @param outcome How the attempt ended.
   * @param server The server that it was sent to.
   * @param crash Key of its crash, created before the attempt.
   */
  async recordAttempt(
    outcome: jobs.AttemptOutcome,
    server: registry.RegisteredServer,
    crash: crashRecords.CrashKey,
  ): Promise<void> {
    const { crashGuard } = this.#options;
    const isBlamed = this.#job.isOwed !== true;
    if (outcome.kind === "broken" && outcome.isLifetimeEnded === true) {
      crashGuard.recordCrash(server, this.#describeWork(), crash, isBlamed);
    } else if (outcome.kind === "broken" && outcome.isClosed) {
      await crashGuard.recordConnectionLoss(
        server,
        this.#describeWork(),
        crash,
        isBlamed,
      );
    } else if (
      outcome.kind === "answered" && this.getVerdict().kind !== "free"
    ) {
      crashGuard.recordSuccess(this.#describeWork());
    }
  }

  /** Counts and logs that the job was answered without being sent. */
  recordHeldBack(ended: number, returnMs: number): void {
    this.#options.crashGuard.recordHeldBack(
      this.#describeWork(),
      ended,
      returnMs,
    );
  }

  #describeWork(): crashGuards.WorkDescription {
    const { requestId, sender, service, target } = this.#job;
    return {
      digest: this.getDigest(),
      requestId,
      account: accounts.getAccountName(sender),
      service,
      target,
    };
  }
}
