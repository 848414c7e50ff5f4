import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as reportOutboxes from "./_report_outbox.ts";
import * as protocol from "./protocol.ts";

/** Busy share of the event loop from which runs are refused. */
const MAX_BUSY_SHARE = 0.8;

/**
 * Time for which a request waits for submissions that this replica has not applied
 * yet, in ms: the leader starts their items as soon as it has.
 */
const CATCH_UP_TIMEOUT_MS = 200;

/** Outcome of runs that end because their box stops. */
const STOPPED: itemRuns.RunOutcome = {
  kind: "lost",
  reason: "the box that ran it stops",
};

/** Options of a run worker. */
export interface RunWorkerOptions extends itemRuns.ScoringOptions {
  readonly dialect: dialects.Dialect;
  readonly busyMonitor: Pick<clocks.BusyMonitor, "getBusyShare">;
  /** Id of this box. */
  readonly id: string;
  readonly machine: Pick<submissions.SubmissionStateMachine, "get">;
  /** Notified when the state machine has changed. */
  readonly stateChanged: csp.Signal;
  readonly peers: fleet.Peers;
  readonly server: rpc.MethodRegistry;
}

/** A run in progress and whom it is for. */
interface WorkerRun {
  readonly cancellation: csp.Cancellation;
  readonly outbox: reportOutboxes.ReportOutbox;
}

/** Runs items for the leader of the stores and reports their events to it. */
export class RunWorker {
  readonly #options: RunWorkerOptions;
  readonly #runs = new Map<string, WorkerRun>();
  readonly #outboxes = new Map<string, reportOutboxes.ReportOutbox>();
  #isStopped = false;

  constructor(options: RunWorkerOptions) {
    this.#options = options;
    options.server.add(
      protocol.METHODS.start,
      (request: protocol.StartRequest) => this.#start(request),
    );
    options.server.add(
      protocol.METHODS.cancel,
      ({ run }: protocol.CancelRequest) => this.#cancel(run),
    );
  }

  /** Ends all runs, so that they go on elsewhere, and accepts no more. */
  stop(): void {
    this.#isStopped = true;
    for (const { cancellation } of [...this.#runs.values()]) {
      cancellation.cancel();
    }
  }

  async #start(
    { leader, runs }: protocol.StartRequest,
  ): Promise<protocol.StartReply> {
    await this.#awaitSubmissions(runs);
    const refused = runs.flatMap((order) => {
      const reason = this.#startRun(leader, order);
      return reason === undefined ? [] : [{ run: order.run, reason }];
    });
    return { refused };
  }

  /** Waits, within a bound, until this replica holds the submissions of runs. */
  async #awaitSubmissions(runs: readonly protocol.RunOrder[]): Promise<void> {
    const { clock, machine, stateChanged } = this.#options;
    const deadlineMs = clock.getMonotonicMs() + CATCH_UP_TIMEOUT_MS;
    while (
      runs.some(({ submission }) => machine.get(submission) === undefined)
    ) {
      const leftMs = deadlineMs - clock.getMonotonicMs();
      if (leftMs <= 0) return;
      await stateChanged.wait(clock, leftMs);
    }
  }

  /** Starts a run; returns the reason if it is refused. */
  #startRun(leader: string, order: protocol.RunOrder): string | undefined {
    const { busyMonitor, machine } = this.#options;
    if (this.#isStopped) return "stopped";
    if (busyMonitor.getBusyShare() > MAX_BUSY_SHARE) return "busy";
    const record = machine.get(order.submission);
    if (record === undefined) return "unknownSubmission";
    if (record.isEnded) return "ended";
    const item = record.submission.items.find(({ id }) => id === order.item);
    if (item === undefined) return "unknownItem";
    void this.#run(leader, order, record.submission, item);
    return undefined;
  }

  async #run(
    leader: string,
    order: protocol.RunOrder,
    submission: submissions.Submission,
    item: submissions.SubmissionItem,
  ): Promise<void> {
    const { clock, dialect } = this.#options;
    const { run, engine, stallTimeoutMs } = order;
    const progress = createProgress(order);
    const resetsBefore = progress.countResets();
    const cancellation = new csp.Cancellation();
    const outbox = this.#getOutbox(leader);
    outbox.addRun(run);
    this.#runs.set(run, { cancellation, outbox });
    const outcome = await itemRuns.runItem({
      clock,
      dialect,
      ...itemRuns.createRunTerms(submission),
      item,
      engine,
      progress,
      stallTimeoutMs,
      cancellation,
      onEvent: (event) => outbox.addEvent(run, event),
      onVersion: (version) => outbox.setVersion(run, version),
    });
    const isScoring = outcome.kind === "finished" &&
      item.scoring !== undefined && !cancellation.isCancelled();
    const isCut = this.#isStopped && outcome.kind !== "finished";
    outbox.endRun(run, {
      outcome: isCut ? STOPPED : outcome,
      isTextDiscarded: progress.countResets() > resetsBefore,
      isScoring,
    });
    if (isScoring) {
      const scored = { item, cancellation };
      outbox.setScore(run, await itemRuns.scoreItem(scored, this.#options));
    }
    this.#runs.delete(run);
  }

  #getOutbox(leader: string): reportOutboxes.ReportOutbox {
    const known = this.#outboxes.get(leader);
    if (known !== undefined) return known;
    const { clock, id, peers } = this.#options;
    const outbox = new reportOutboxes.ReportOutbox({
      clock,
      worker: id,
      leader: peers.get(leader),
      cancelRun: (run) => this.#runs.get(run)?.cancellation.cancel(),
    });
    this.#outboxes.set(leader, outbox);
    return outbox;
  }

  #cancel(run: string): void {
    const running = this.#runs.get(run);
    running?.outbox.removeRun(run);
    running?.cancellation.cancel();
  }
}

/** Creates a text that continues after the events that the leader holds. */
function createProgress(
  { lastId, versions }: protocol.RunOrder,
): itemRuns.TextProgress {
  const progress = new itemRuns.TextProgress();
  if (lastId !== undefined) progress.restore({ text: "", lastId, versions });
  return progress;
}
