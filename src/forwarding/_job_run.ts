import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as jobCrashGuards from "./_job_crash_guard.ts";
import * as recordOutcomes from "./_record_outcome.ts";
import * as slotWaits from "./_slot_wait.ts";
import * as serverPickers from "./_server_picker.ts";
import type * as serviceQueues from "./_service_queue.ts";
import * as watchedAttempts from "./_watched_attempt.ts";

/** Retry delay of refused callers if forwarding is not load-aware, in ms. */
const DEFAULT_RETRY_AFTER_MS = 150;
/** Maximum refusals of a request before it is queued or fails. */
const MAX_REFUSALS = 8;
/** Maximum refusals each time that a queued request gets its turn. */
const MAX_REFUSALS_PER_TURN = 2;
const FIRST_ERROR_STATUS = 500;

/** Runs one job, with retries, hedging and queueing, until it is settled. */
export class JobRun {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #queue: serviceQueues.ServiceQueue;
  readonly #job: jobs.ForwardJob;
  readonly #crashGuard: jobCrashGuards.JobCrashGuard;
  readonly #slotWait: slotWaits.SlotWait;
  readonly #resolve: (outcome: jobs.ForwardOutcome) => void;
  readonly #picker: serverPickers.ServerPicker;
  /** Attempts in progress, with the times they were sent, in monotonic ms. */
  readonly #runningAttempts = new Map<csp.Cancellation, number>();
  readonly #onAbandon = () => this.#settle({ kind: "abandoned" });
  /** Attempts sent and not refused. */
  #sentCount = 0;
  #maxRefusals = MAX_REFUSALS;
  /** Whether a running server refused the job, so that a slot may become free. */
  #wasRefusedAsBusy = false;
  #mayHaveRun = false;
  /** Send time of the run reported to `onStarted`, in monotonic ms. */
  #startedAtMs: number | undefined;
  #isSettled = false;
  #lastReason = "no server is ready";
  #errorAnswer: jobs.ServerAnswer | undefined;
  #isRequestingGrant = false;
  #cancelDeadline: clocks.CancelTimer = () => {};
  #cancelHedge: clocks.CancelTimer = () => {};
  #leaveQueue: () => void = () => {};

  constructor(
    options: forwarderOptions.ForwarderOptions,
    queue: serviceQueues.ServiceQueue,
    job: jobs.ForwardJob,
    resolve: (outcome: jobs.ForwardOutcome) => void,
  ) {
    this.#options = options;
    this.#queue = queue;
    this.#job = job;
    this.#crashGuard = new jobCrashGuards.JobCrashGuard(options, job);
    this.#picker = new serverPickers.ServerPicker(options, job.service);
    this.#slotWait = new slotWaits.SlotWait(options, job);
    this.#resolve = resolve;
  }

  /** Starts the first attempt and the deadline timer. */
  start(): void {
    const { cancellation, deadlineAtMs } = this.#job;
    cancellation.addListener(this.#onAbandon);
    if (cancellation.isCancelled()) return this.#onAbandon();
    const leftMs = deadlineAtMs - this.#options.clock.getMonotonicMs();
    this.#cancelDeadline = this.#options.clock.startTimer(
      Math.max(0, leftMs),
      () => this.#expire(),
    );
    if (!this.#crashGuard.isAwaitingRecords()) return this.#tryNext();
    void this.#crashGuard.awaitRecords().then(() => this.#tryNext());
  }

  #expire(): void {
    const wasSent = this.#mayHaveRun || this.#runningAttempts.size > 0;
    this.#settle({ kind: "expired", wasSent });
  }

  #canTry(): boolean {
    return this.#sentCount < this.#job.maxAttempts &&
      this.#picker.countRefusals() < this.#maxRefusals;
  }

  /**
   * Starts the next attempt. Work under which servers crashed runs on one server
   * at a time, with a grant, and is held back after too many crashes, so that it
   * cannot take down all servers of its service.
   */
  #tryNext(): void {
    if (this.#isSettled) return;
    const verdict = this.#crashGuard.getVerdict();
    switch (verdict.kind) {
      case "free":
        return this.#sendToServer();
      case "suspect":
        if (this.#runningAttempts.size > 0) return;
        if (!this.#canTry()) return this.#giveUp();
        return void this.#tryWithGrant();
      case "heldBack":
        return this.#holdBack(verdict);
    }
  }

  async #tryWithGrant(): Promise<void> {
    if (this.#isRequestingGrant) return;
    this.#isRequestingGrant = true;
    this.#cancelHedge();
    const answer = await this.#crashGuard.requestGrant(() =>
      this.#picker.listCandidates()
    );
    this.#isRequestingGrant = false;
    if (this.#isSettled) return this.#crashGuard.releaseGrant();
    if (answer.kind === "heldBack") return this.#holdBack(answer);
    this.#sendToServer(answer.server);
  }

  /** Settles the job without sending it again. */
  #holdBack({ ended, returnMs }: jobCrashGuards.HeldBack): void {
    if (this.#runningAttempts.size > 0) return;
    this.#crashGuard.recordHeldBack(ended, returnMs);
    const reason = `${ended} servers ended while they ran it`;
    if (this.#errorAnswer !== undefined) {
      return this.#settle({ kind: "answered", answer: this.#errorAnswer });
    }
    this.#settle(
      this.#mayHaveRun
        ? { kind: "failed", reason }
        : { kind: "heldBack", reason, returnMs },
    );
  }

  /** @param preferred Server to send to; undefined for the best one. */
  #sendToServer(preferred?: registry.LifetimeKey): void {
    const server = this.#canTry() ? this.#picker.pick(preferred) : undefined;
    if (server === undefined) {
      this.#crashGuard.releaseGrant();
      return this.#giveUp();
    }
    this.#sentCount += 1;
    this.#picker.markTried(server);
    this.#scheduleHedge();
    void this.#runAttempt(server);
  }

  /** Schedules a hedged request for when the first server does not answer. */
  #scheduleHedge(): void {
    this.#cancelHedge();
    const { isRepeatable, hedgeMs } = this.#job;
    if (!isRepeatable || hedgeMs === undefined) return;
    if (this.#crashGuard.getVerdict().kind !== "free") return;
    this.#cancelHedge = this.#options.clock.startTimer(
      hedgeMs,
      () => {
        if (this.#canTry() && this.#canHedge()) this.#tryNext();
      },
    );
  }

  /**
   * Whether a hedged request can be sent. It needs a free slot, as it would
   * otherwise compete with requests that have no server yet.
   */
  #canHedge(): boolean {
    const { loads, isLoadAware } = this.#options;
    const server = this.#picker.pick();
    if (server === undefined) return false;
    return !isLoadAware || loads.hasFreeSlot(server);
  }

  async #runAttempt(server: registry.RegisteredServer): Promise<void> {
    const { clock, loads } = this.#options;
    const cancellation = new csp.Cancellation();
    const startMs = clock.getMonotonicMs();
    const crash = this.#crashGuard.createCrashKey(server);
    this.#runningAttempts.set(cancellation, startMs);
    loads.recordStart(server.lifetime);
    const { servers, dialect, sendAttempt } = this.#options;
    const outcome = await watchedAttempts.sendWatched(servers, {
      job: this.#job,
      server,
      dialect,
      timeoutMs: Math.max(1, this.#job.deadlineAtMs - startMs),
      cancellation,
    }, sendAttempt);
    const durationMs = clock.getMonotonicMs() - startMs;
    recordOutcomes.recordAttempt(loads, server.lifetime, {
      outcome,
      durationMs,
      isJobPending: !this.#isSettled,
    });
    await this.#crashGuard.recordAttempt(outcome, server, crash);
    this.#crashGuard.releaseGrant();
    this.#runningAttempts.delete(cancellation);
    this.#recordStart(outcome, startMs);
    recordOutcomes.recordReportedLoad(loads, server.lifetime, outcome);
    if (!this.#isSettled) this.#handleOutcome(outcome, server);
    if (outcome.kind === "answered") this.#queue.recordFreedSlot();
  }

  /** Keeps the start of the answered run, else of the first that may have run. */
  #recordStart(outcome: jobs.AttemptOutcome, startMs: number): void {
    if (outcome.kind === "answered") this.#startedAtMs = startMs;
    if (outcome.kind === "broken") this.#startedAtMs ??= startMs;
  }

  #handleOutcome(
    outcome: jobs.AttemptOutcome,
    server: registry.RegisteredServer,
  ): void {
    switch (outcome.kind) {
      case "answered":
        return this.#handleAnswer(outcome.answer);
      case "notRun":
        this.#sentCount -= 1;
        this.#picker.markRefused(server);
        this.#wasRefusedAsBusy ||= outcome.isBusy;
        if (outcome.isBusy) this.#options.loads.markFull(server.lifetime);
        return this.#handleFailure(server, outcome);
      case "broken":
        this.#mayHaveRun = true;
        this.#options.loads.avoid(server.lifetime);
        return this.#handleFailure(server, outcome);
    }
  }

  #handleAnswer(answer: jobs.ServerAnswer): void {
    this.#mayHaveRun = true;
    const isError = answer.status >= FIRST_ERROR_STATUS;
    const mayRetry = isError && this.#job.isRepeatable &&
      this.#job.retriesErrors;
    if (!mayRetry) return this.#settle({ kind: "answered", answer });
    this.#errorAnswer = answer;
    this.#lastReason = `the server answered ${answer.status}`;
    this.#retry();
  }

  #handleFailure(
    server: registry.RegisteredServer,
    outcome: Exclude<jobs.AttemptOutcome, { readonly kind: "answered" }>,
  ): void {
    this.#lastReason = outcome.reason;
    this.#options.log.write("info", "forward.retry", {
      request: this.#job.requestId,
      server: server.id,
      service: this.#job.service,
      sent: this.#sentCount,
      refusals: this.#picker.countRefusals(),
      reason: outcome.reason,
      closed: outcome.kind === "broken" ? outcome.isClosed : undefined,
      work: outcome.kind === "broken"
        ? this.#crashGuard.getDigest()
        : undefined,
    });
    const mustStop = this.#mayHaveRun && !this.#job.isRepeatable;
    if (mustStop) return this.#giveUp();
    this.#retry();
  }

  #retry(): void {
    if (this.#runningAttempts.size === 0) return this.#tryNext();
    if (this.#canTry()) this.#tryNext();
  }

  /** Settles or queues the job, unless an attempt is still in progress. */
  #giveUp(): void {
    if (this.#runningAttempts.size > 0) return;
    if (this.#errorAnswer !== undefined) {
      return this.#settle({ kind: "answered", answer: this.#errorAnswer });
    }
    if (this.#mayHaveRun) {
      return this.#settle({ kind: "failed", reason: this.#lastReason });
    }
    if (!this.#options.isLoadAware) return this.#refuse(DEFAULT_RETRY_AFTER_MS);
    if (this.#wasRefusedAsBusy) return this.#waitForSlot();
    if (!this.#slotWait.hasFullServer()) {
      return this.#refuse(this.#queue.assignRetryAfterMs());
    }
    this.#lastReason = "every server refused others as full just now";
    this.#waitForSlot();
  }

  /** Queues the job for a free slot after all servers refused. */
  #waitForSlot(): void {
    const { priority, targetAtMs } = this.#job;
    const giveUpAtMs = this.#slotWait.start();
    this.#leaveQueue = this.#queue.enqueue(
      { priority, targetAtMs, deadlineAtMs: giveUpAtMs },
      {
        onTurn: () => {
          this.#picker.startTurn();
          this.#maxRefusals = MAX_REFUSALS_PER_TURN;
          this.#tryNext();
        },
        onRefuse: (returnMs) => this.#refuse(returnMs),
      },
    );
  }

  #refuse(returnMs: number): void {
    this.#settle({
      kind: "notRun",
      reason: this.#lastReason,
      returnMs,
      waitedMs: this.#slotWait.getWaitedMs(),
    });
  }

  /** Calls `onStarted` if the request may have run. */
  #reportStart(): void {
    const [runningSinceMs] = this.#runningAttempts.values();
    const startedAtMs = this.#startedAtMs ?? runningSinceMs;
    if (startedAtMs !== undefined) this.#job.onStarted?.(startedAtMs);
  }

  #settle(outcome: jobs.ForwardOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#cancelDeadline();
    this.#cancelHedge();
    this.#leaveQueue();
    this.#crashGuard.releaseGrant();
    this.#job.cancellation.removeListener(this.#onAbandon);
    this.#reportStart();
    for (const cancellation of this.#runningAttempts.keys()) {
      cancellation.cancel();
    }
    this.#resolve(outcome);
  }
}
