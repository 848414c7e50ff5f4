import type * as clocks from "../clock/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as chooseServer from "./choose_server.ts";
import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as limitWait from "./_limit_wait.ts";
import * as noteOutcome from "./_note_outcome.ts";
import type * as serviceLines from "./_service_line.ts";
import * as watchedAttempts from "./_watched_attempt.ts";

/** When refused callers come back where load is not weighed, in ms. */
const PLAIN_RETURN_MS = 150;
/** Servers that may refuse a request unrun before it waits or is given up. */
const MAX_REFUSALS = 8;
/** The same for a request that has waited and whose turn has come. */
const MAX_REFUSALS_A_TURN = 2;
const FIRST_ERROR_STATUS = 500;

/** Follows one job over all its attempts. */
export class JobRun {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #line: serviceLines.ServiceLine;
  readonly #job: jobs.ForwardJob;
  readonly #resolve: (outcome: jobs.ForwardOutcome) => void;
  readonly #tried = new Set<registry.LifetimeKey>();
  readonly #refused = new Set<registry.LifetimeKey>();
  /** Attempts under way, and when they were sent, in monotonic ms. */
  readonly #running = new Map<csp.Cancellation, number>();
  readonly #onAbandon = () => this.#settle({ kind: "abandoned" });
  #sent = 0;
  #maxRefusals = MAX_REFUSALS;
  /** Whether a server that runs refused it; one that is gone frees no place. */
  #sawBusy = false;
  /** Whether its turn came after a wait. */
  #hasTurn = false;
  /** When it began to wait for a place, in monotonic ms. */
  #waitingSinceMs: number | undefined;
  /** When it must have got a place, in monotonic ms. */
  #giveUpAtMs = 0;
  #mayHaveRun = false;
  /** When the run that counts was sent, in monotonic ms. */
  #begunAtMs: number | undefined;
  #isSettled = false;
  #reason = "no server is ready";
  #errorAnswer: jobs.ServerAnswer | undefined;
  #work: crashGuards.WorkDigest | undefined;
  #cancelDeadline: clocks.CancelTimer = () => {};
  #cancelHedge: clocks.CancelTimer = () => {};
  #leaveLine: () => void = () => {};

  constructor(
    options: forwarderOptions.ForwarderOptions,
    line: serviceLines.ServiceLine,
    job: jobs.ForwardJob,
    resolve: (outcome: jobs.ForwardOutcome) => void,
  ) {
    this.#options = options;
    this.#line = line;
    this.#job = job;
    this.#resolve = resolve;
  }

  start(): void {
    const { cancellation, deadlineAtMs } = this.#job;
    cancellation.add(this.#onAbandon);
    if (cancellation.isCancelled()) return this.#onAbandon();
    const leftMs = deadlineAtMs - this.#options.clock.getMonotonicMs();
    this.#cancelDeadline = this.#options.clock.startTimer(
      Math.max(0, leftMs),
      () => this.#expire(),
    );
    this.#tryNext();
  }

  #expire(): void {
    const wasSent = this.#mayHaveRun || this.#running.size > 0;
    this.#settle({ kind: "expired", wasSent });
  }

  #canTry(): boolean {
    return this.#sent < this.#job.attempts &&
      this.#refused.size < this.#maxRefusals;
  }

  #choose(): registry.RegisteredServer | undefined {
    const { servers, loads, failureDomain, draw } = this.#options;
    return chooseServer.chooseServer({
      servers: servers.listReady(this.#job.service),
      loads,
      tried: this.#tried,
      refused: this.#refused,
      avoidsFull: this.#options.weighsLoad && !this.#hasTurn,
      failureDomain,
      draw,
    });
  }

  #tryNext(): void {
    if (this.#isSettled) return;
    const server = this.#canTry() ? this.#choose() : undefined;
    if (server === undefined) return this.#giveUp();
    this.#sent += 1;
    this.#tried.add(server.lifetime);
    this.#scheduleHedge();
    void this.#runAttempt(server);
  }

  /** Asks a second server when the first is silent for long. */
  #scheduleHedge(): void {
    this.#cancelHedge();
    if (!this.#job.isRepeatable) return;
    this.#cancelHedge = this.#options.clock.startTimer(
      this.#job.hedgeMs,
      () => {
        if (this.#canTry() && this.#canHedge()) this.#tryNext();
      },
    );
  }

  /**
   * A second try goes only to a server with a free place: beside full servers
   * it would take a place from a request that has none yet.
   */
  #canHedge(): boolean {
    const { loads, weighsLoad } = this.#options;
    const server = this.#choose();
    if (server === undefined) return false;
    return !weighsLoad || loads.hasPlace(server);
  }

  async #runAttempt(server: registry.RegisteredServer): Promise<void> {
    const { clock, loads } = this.#options;
    const cancellation = new csp.Cancellation();
    const startMs = clock.getMonotonicMs();
    this.#running.set(cancellation, startMs);
    loads.begin(server.lifetime);
    const { servers, dialect, sendAttempt } = this.#options;
    const outcome = await watchedAttempts.sendWatched(servers, {
      job: this.#job,
      server,
      dialect,
      timeoutMs: Math.max(1, this.#job.deadlineAtMs - startMs),
      cancellation,
    }, sendAttempt);
    const tookMs = clock.getMonotonicMs() - startMs;
    noteOutcome.noteEnd(loads, server.lifetime, {
      outcome,
      tookMs,
      isWanted: !this.#isSettled,
    });
    this.#running.delete(cancellation);
    this.#noteBegun(outcome, startMs);
    noteOutcome.noteTold(loads, server.lifetime, outcome);
    if (!this.#isSettled) this.#take(outcome, server);
    if (outcome.kind === "answered") this.#line.noteFreed();
  }

  /** The run that was answered counts, else the first that may have been. */
  #noteBegun(outcome: jobs.AttemptOutcome, startMs: number): void {
    if (outcome.kind === "answered") this.#begunAtMs = startMs;
    if (outcome.kind === "broken") this.#begunAtMs ??= startMs;
  }

  #take(
    outcome: jobs.AttemptOutcome,
    server: registry.RegisteredServer,
  ): void {
    switch (outcome.kind) {
      case "answered":
        return this.#takeAnswer(outcome.answer);
      case "notRun":
        this.#sent -= 1;
        this.#refused.add(server.lifetime);
        this.#sawBusy ||= outcome.isBusy;
        if (outcome.isBusy) this.#options.loads.noteFull(server.lifetime);
        return this.#retryAfter(server, outcome);
      case "broken":
        this.#mayHaveRun = true;
        this.#options.loads.avoid(server.lifetime);
        return this.#retryAfter(server, outcome);
    }
  }

  #takeAnswer(answer: jobs.ServerAnswer): void {
    this.#mayHaveRun = true;
    const isError = answer.status >= FIRST_ERROR_STATUS;
    const isWorthAnother = isError && this.#job.isRepeatable &&
      this.#job.retriesErrors;
    if (!isWorthAnother) return this.#settle({ kind: "answered", answer });
    this.#errorAnswer = answer;
    this.#reason = `the server answered ${answer.status}`;
    this.#tryAnother();
  }

  #retryAfter(
    server: registry.RegisteredServer,
    outcome: Exclude<jobs.AttemptOutcome, { readonly kind: "answered" }>,
  ): void {
    this.#reason = outcome.reason;
    this.#options.log.write("info", "forward.retry", {
      request: this.#job.requestId,
      server: server.id,
      service: this.#job.service,
      sent: this.#sent,
      refusals: this.#refused.size,
      reason: outcome.reason,
      closed: outcome.kind === "broken" ? outcome.isClosed : undefined,
      work: outcome.kind === "broken" ? this.#getWork() : undefined,
    });
    const mustStop = this.#mayHaveRun && !this.#job.isRepeatable;
    if (mustStop) return this.#giveUp();
    this.#tryAnother();
  }

  /** Digest of the work; computed where it is asked for, as most is not. */
  #getWork(): crashGuards.WorkDigest {
    const { sender, method, target, headers, body } = this.#job;
    const host = String(headers["host"] ?? "");
    this.#work ??= crashGuards.computeWorkDigest({
      sender,
      method,
      host,
      target,
      body,
    });
    return this.#work;
  }

  #tryAnother(): void {
    if (this.#running.size === 0) return this.#tryNext();
    if (this.#canTry()) this.#tryNext();
  }

  /** Ends the job unless an attempt is still under way. */
  #giveUp(): void {
    if (this.#running.size > 0) return;
    if (this.#errorAnswer !== undefined) {
      return this.#settle({ kind: "answered", answer: this.#errorAnswer });
    }
    if (this.#mayHaveRun) {
      return this.#settle({ kind: "failed", reason: this.#reason });
    }
    if (!this.#options.weighsLoad) return this.#refuse(PLAIN_RETURN_MS);
    if (this.#sawBusy) return this.#waitForPlace();
    if (!this.#hasFullServer()) return this.#refuse(this.#line.refuse());
    this.#reason = "every server refused others as full just now";
    this.#waitForPlace();
  }

  /** Whether servers of the service run, and were full just now. */
  #hasFullServer(): boolean {
    const { servers, loads } = this.#options;
    return servers.listReady(this.#job.service).some((server) =>
      loads.isFull(server.lifetime)
    );
  }

  /** Waits for a place after all servers refused. */
  #waitForPlace(): void {
    const { priority, targetAtMs } = this.#job;
    this.#beginWait();
    this.#leaveLine = this.#line.enter(
      { priority, targetAtMs, giveUpAtMs: this.#giveUpAtMs },
      {
        onTurn: () => {
          this.#hasTurn = true;
          this.#refused.clear();
          this.#maxRefusals = MAX_REFUSALS_A_TURN;
          this.#tryNext();
        },
        onRefuse: (returnMs) => this.#refuse(returnMs),
      },
    );
  }

  #beginWait(): void {
    if (this.#waitingSinceMs !== undefined) return;
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#waitingSinceMs = nowMs;
    this.#giveUpAtMs = limitWait.limitWait(this.#job, nowMs, () => {
      const { servers, loads } = this.#options;
      return servers.listReady(this.#job.service)
        .map((server) => loads.getMeanMs(server.lifetime));
    });
  }

  #refuse(returnMs: number): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const waitedMs = Math.round(nowMs - (this.#waitingSinceMs ?? nowMs));
    this.#settle({
      kind: "notRun",
      reason: this.#reason,
      returnMs,
      waitedMs,
    });
  }

  #tellBegun(): void {
    const [underWayMs] = this.#running.values();
    const begunAtMs = this.#begunAtMs ?? underWayMs;
    if (begunAtMs !== undefined) this.#job.onBegun?.(begunAtMs);
  }

  #settle(outcome: jobs.ForwardOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#cancelDeadline();
    this.#cancelHedge();
    this.#leaveLine();
    this.#job.cancellation.remove(this.#onAbandon);
    this.#tellBegun();
    for (const cancellation of this.#running.keys()) cancellation.cancel();
    this.#resolve(outcome);
  }
}
