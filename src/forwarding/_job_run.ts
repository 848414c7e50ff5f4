import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as jobWorks from "./_job_work.ts";
import * as noteOutcome from "./_note_outcome.ts";
import * as placeWaits from "./_place_wait.ts";
import * as serverPickers from "./_server_picker.ts";
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
  readonly #work: jobWorks.JobWork;
  readonly #wait: placeWaits.PlaceWait;
  readonly #resolve: (outcome: jobs.ForwardOutcome) => void;
  readonly #picker: serverPickers.ServerPicker;
  /** Attempts under way, and when they were sent, in monotonic ms. */
  readonly #running = new Map<csp.Cancellation, number>();
  readonly #onAbandon = () => this.#settle({ kind: "abandoned" });
  #sent = 0;
  #maxRefusals = MAX_REFUSALS;
  /** Whether a server that runs refused it; one that is gone frees no place. */
  #sawBusy = false;
  #mayHaveRun = false;
  /** When the run that counts was sent, in monotonic ms. */
  #begunAtMs: number | undefined;
  #isSettled = false;
  #reason = "no server is ready";
  #errorAnswer: jobs.ServerAnswer | undefined;
  /** Whether a grant is being asked for. */
  #isAsking = false;
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
    this.#work = new jobWorks.JobWork(options, job);
    this.#picker = new serverPickers.ServerPicker(options, job.service);
    this.#wait = new placeWaits.PlaceWait(options, job);
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
      this.#picker.countRefusals() < this.#maxRefusals;
  }

  /**
   * Sends the job on, unless servers ended under its work. Such work goes to one
   * server at a time, and to none once three have ended: sent on as if new, it
   * ended ten and more, and left its service without any server.
   */
  #tryNext(): void {
    if (this.#isSettled) return;
    const verdict = this.#work.judge();
    switch (verdict.kind) {
      case "free":
        return this.#tryServer();
      case "suspect":
        if (this.#running.size > 0) return;
        if (!this.#canTry()) return this.#giveUp();
        return void this.#tryGranted();
      case "heldBack":
        return this.#holdBack(verdict);
    }
  }

  async #tryGranted(): Promise<void> {
    if (this.#isAsking) return;
    this.#isAsking = true;
    this.#cancelHedge();
    const answer = await this.#work.askGrant(() => this.#picker.list());
    this.#isAsking = false;
    if (this.#isSettled) return this.#work.endGrant();
    if (answer.kind === "heldBack") return this.#holdBack(answer);
    this.#tryServer(answer.server);
  }

  /** Answers at once that the work is sent nowhere. */
  #holdBack({ ended, returnMs }: jobWorks.HeldBack): void {
    if (this.#running.size > 0) return;
    this.#work.noteHeldBack(ended, returnMs);
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

  /** @param chosen Server that it should be; undefined for the best one. */
  #tryServer(chosen?: registry.LifetimeKey): void {
    const server = this.#canTry() ? this.#picker.pick(chosen) : undefined;
    if (server === undefined) {
      this.#work.endGrant();
      return this.#giveUp();
    }
    this.#sent += 1;
    this.#picker.markTried(server);
    this.#scheduleHedge();
    void this.#runAttempt(server);
  }

  /** Asks a second server when the first is silent for long. */
  #scheduleHedge(): void {
    this.#cancelHedge();
    if (!this.#job.isRepeatable || this.#work.judge().kind !== "free") return;
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
    const server = this.#picker.pick();
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
    await this.#work.noteEnd(outcome, server);
    this.#work.endGrant();
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
        this.#picker.markRefused(server);
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
      refusals: this.#picker.countRefusals(),
      reason: outcome.reason,
      closed: outcome.kind === "broken" ? outcome.isClosed : undefined,
      work: outcome.kind === "broken" ? this.#work.getDigest() : undefined,
    });
    const mustStop = this.#mayHaveRun && !this.#job.isRepeatable;
    if (mustStop) return this.#giveUp();
    this.#tryAnother();
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
    if (!this.#wait.hasFullServer()) return this.#refuse(this.#line.refuse());
    this.#reason = "every server refused others as full just now";
    this.#waitForPlace();
  }

  /** Waits for a place after all servers refused. */
  #waitForPlace(): void {
    const { priority, targetAtMs } = this.#job;
    const giveUpAtMs = this.#wait.begin();
    this.#leaveLine = this.#line.enter(
      { priority, targetAtMs, deadlineAtMs: giveUpAtMs },
      {
        onTurn: () => {
          this.#picker.beginTurn();
          this.#maxRefusals = MAX_REFUSALS_A_TURN;
          this.#tryNext();
        },
        onRefuse: (returnMs) => this.#refuse(returnMs),
      },
    );
  }

  #refuse(returnMs: number): void {
    this.#settle({
      kind: "notRun",
      reason: this.#reason,
      returnMs,
      waitedMs: this.#wait.getWaitedMs(),
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
    this.#work.endGrant();
    this.#job.cancellation.remove(this.#onAbandon);
    this.#tellBegun();
    for (const cancellation of this.#running.keys()) cancellation.cancel();
    this.#resolve(outcome);
  }
}
