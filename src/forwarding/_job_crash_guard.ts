import * as crypto from "node:crypto";
import * as accounts from "../client_account/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";

/** Pause before a grant is asked for again while others run, in ms. */
const GRANT_RETRY_MS = 40;
/** Servers after which a run without the leader's grant is none too many. */
const MAX_ENDED_WITHOUT_GRANT = 1;

/**
 * Time after which work that lost one server may run beside other such work, in
 * ms. Where many servers end at once, as with a failure domain, there is more such
 * work than servers, and nearly all of it lost its server by chance.
 */
const SHARE_AFTER_MS = 80;
/** When to come back while the same work is tried for others, in ms. */
const BUSY_RETRY_AFTER_MS = 500;

/** Why work is not sent on. */
export type HeldBack = Extract<
  crashRecords.WorkVerdict,
  { readonly kind: "heldBack" }
>;

/** Says that work may be sent on. */
export interface Permitted {
  readonly kind: "sentOn";
  /** Server that the leader chose; undefined where any will do. */
  readonly server: registry.LifetimeKey | undefined;
}

const ANY_SERVER: Permitted = { kind: "sentOn", server: undefined };

/** What a job's work needs. */
export interface JobCrashGuardOptions {
  readonly clock: clocks.Clock;
  readonly crashGuard: Pick<
    crashGuards.CrashGuard,
    | "judge"
    | "noteClosed"
    | "noteEnded"
    | "noteServed"
    | "noteHeldBack"
    | "askGrant"
    | "endGrant"
  >;
}

/** The work that a job carries, which may be one that ends servers. */
export class JobCrashGuard {
  readonly #options: JobCrashGuardOptions;
  readonly #job: jobs.ForwardJob;
  #digest: crashRecords.WorkDigest | undefined;
  /** Name of the granted run under way, if any. */
  #grantedRun: string | undefined;

  constructor(options: JobCrashGuardOptions, job: jobs.ForwardJob) {
    this.#options = options;
    this.#job = job;
  }

  getVerdict(): crashRecords.WorkVerdict {
    return this.#options.crashGuard.judge(() => this.getDigest());
  }

  /** Digest of the work; computed where it is asked for, as most is not. */
  getDigest(): crashRecords.WorkDigest {
    const { sender, method, target, headers, body } = this.#job;
    const host = String(headers["host"] ?? "");
    this.#digest ??= crashRecords.computeWorkDigest({
      sender,
      method,
      host,
      target,
      body,
    });
    return this.#digest;
  }

  /**
   * Asks for one run more, again while others run and an answer would still be
   * in time.
   *
   * @param listServers Servers that may run it, best first.
   * @returns Whether it may be sent, and where to. Work that lost one server may
   * also without a leader, and when its time is nearly over: it is most often
   * chance, and never refused for it.
   */
  async requestGrant(
    listServers: () => readonly registry.LifetimeKey[],
  ): Promise<Permitted | HeldBack> {
    const { clock, crashGuard } = this.#options;
    const startedAtMs = clock.getMonotonicMs();
    for (;;) {
      const verdict = this.getVerdict();
      if (verdict.kind === "free") return ANY_SERVER;
      if (verdict.kind === "heldBack") return verdict;
      const servers = listServers();
      // Without a server the job waits or is given up as any other is.
      if (servers.length === 0) return ANY_SERVER;
      const mayRunWithoutGrant = verdict.ended <= MAX_ENDED_WITHOUT_GRANT;
      const run = crypto.randomUUID();
      const answer = await crashGuard.askGrant(this.getDigest(), {
        run,
        servers,
        mayShare: mayRunWithoutGrant &&
          clock.getMonotonicMs() - startedAtMs >= SHARE_AFTER_MS,
      });
      switch (answer.kind) {
        case "granted":
          this.#grantedRun = run;
          return { kind: "sentOn", server: answer.server };
        case "unanswered":
          // It may have been granted all the same, and would hold others up.
          crashGuard.endGrant(this.getDigest(), run);
          if (mayRunWithoutGrant) return ANY_SERVER;
          break;
        case "barred":
        case "busy":
          break;
      }
      if (this.#isTargetNear()) {
        if (mayRunWithoutGrant) return ANY_SERVER;
        const { ended } = verdict;
        return { kind: "heldBack", ended, returnMs: BUSY_RETRY_AFTER_MS };
      }
      await clocks.sleep(clock, GRANT_RETRY_MS);
    }
  }

  #isTargetNear(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    return nowMs + GRANT_RETRY_MS >= this.#job.targetAtMs ||
      this.#job.cancellation.isCancelled();
  }

  /** Ends the granted run, if there is one. */
  releaseGrant(): void {
    if (this.#grantedRun === undefined) return;
    this.#options.crashGuard.endGrant(this.getDigest(), this.#grantedRun);
    this.#grantedRun = undefined;
  }

  /** Notes how a try ended, before the next one is chosen. */
  async recordAttempt(
    outcome: jobs.AttemptOutcome,
    server: registry.RegisteredServer,
  ): Promise<void> {
    const { crashGuard } = this.#options;
    if (outcome.kind === "broken" && outcome.isLifetimeEnded === true) {
      crashGuard.noteEnded(server, this.#describeWork());
    } else if (outcome.kind === "broken" && outcome.isClosed) {
      await crashGuard.noteClosed(server, this.#describeWork());
    } else if (
      outcome.kind === "answered" && this.getVerdict().kind !== "free"
    ) {
      crashGuard.noteServed(this.#describeWork());
    }
  }

  recordHeldBack(ended: number, returnMs: number): void {
    this.#options.crashGuard.noteHeldBack(
      this.#describeWork(),
      ended,
      returnMs,
    );
  }

  #describeWork(): crashGuards.WorkName {
    const { requestId, sender, service, target } = this.#job;
    return {
      digest: this.getDigest(),
      carrier: requestId,
      account: accounts.getAccountName(sender),
      service,
      target,
    };
  }
}
