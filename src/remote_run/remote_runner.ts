import * as crypto from "node:crypto";
import type * as clocks from "../clock/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as remoteRuns from "./_remote_run.ts";
import * as startQueues from "./_start_queue.ts";
import * as workerPools from "./_worker_pool.ts";
import * as protocol from "./protocol.ts";

/** Busy share of the event loop from which runs are handed to other boxes. */
const MIN_BUSY_SHARE = 0.5;
/** Interval between checks for silent boxes, in ms. */
const CHECK_INTERVAL_MS = 200;

/** Options of a remote runner. */
export interface RemoteRunnerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly busyMonitor: Pick<clocks.BusyMonitor, "getBusyShare">;
  /** Id of this box. */
  readonly id: string;
  readonly directory: Pick<fleet.BoxDirectory, "listAlive">;
  readonly group: Pick<replicaGroups.ReplicaGroup, "getStatus">;
  readonly peers: fleet.Peers;
  readonly server: rpc.MethodRegistry;
}

/** A run of an item of a submission. */
export interface SubmissionRun extends itemRuns.RunItemOptions {
  /** Id of the submission. */
  readonly submission: string;
}

/**
 * Runs items, at other store boxes while this one is busy: the streams of all
 * engines are more than one process can read on a slow box, and its lease must
 * not wait for them.
 */
export class RemoteRunner {
  readonly #options: RemoteRunnerOptions;
  readonly #workers: workerPools.WorkerPool;
  readonly #startQueue: startQueues.StartQueue;
  readonly #runs = new Map<string, remoteRuns.RemoteRun>();
  /** Tells runs of this process from those of an earlier one. */
  readonly #prefix = crypto.randomUUID();
  #count = 0;
  #isChecking = false;

  constructor(options: RemoteRunnerOptions) {
    this.#options = options;
    this.#workers = new workerPools.WorkerPool(options);
    this.#startQueue = new startQueues.StartQueue(options);
    options.server.add(
      protocol.METHODS.report,
      (request: protocol.ReportRequest) => this.#handleReport(request),
    );
  }

  /** Runs an item, here or at another box. */
  run(options: SubmissionRun): Promise<itemRuns.RunOutcome> {
    const isBusy = this.#options.busyMonitor.getBusyShare() >= MIN_BUSY_SHARE;
    const worker = isBusy
      ? this.#workers.pick(options.engine.failureDomain)
      : undefined;
    if (worker === undefined || options.cancellation.isCancelled()) {
      return itemRuns.runItem(options);
    }
    return this.#runAt(worker, options);
  }

  async #runAt(
    worker: string,
    options: SubmissionRun,
  ): Promise<itemRuns.RunOutcome> {
    const run = `${this.#prefix}:${this.#count}`;
    this.#count += 1;
    this.#workers.addRun(worker);
    const ended = new Promise<itemRuns.RunOutcome>((resolve) => {
      const remote = new remoteRuns.RemoteRun({
        worker,
        options,
        onCancel: () => this.#sendCancel(worker, run),
        onEnd: resolve,
        onClose: () => this.#removeRun(run, worker),
      });
      this.#runs.set(run, remote);
    });
    this.#scheduleCheck();
    const isRefused = await this.#start(run, worker, options);
    if (!isRefused || options.cancellation.isCancelled()) return await ended;
    this.#runs.get(run)?.discard();
    return await itemRuns.runItem(options);
  }

  #removeRun(run: string, worker: string): void {
    if (this.#runs.delete(run)) this.#workers.removeRun(worker);
  }

  /** Asks a box to start a run; returns whether it certainly does not run. */
  async #start(
    run: string,
    worker: string,
    options: SubmissionRun,
  ): Promise<boolean> {
    const { submission, item, engine, progress, stallTimeoutMs } = options;
    const outcome = await this.#startQueue.start(worker, {
      run,
      submission,
      item: item.id,
      engine,
      lastId: progress.getLastId(),
      versions: progress.listVersions(),
      stallTimeoutMs,
    });
    if (outcome.kind === "started") return false;
    const { reason } = outcome;
    this.#options.log.write("info", "run.unstarted", { peer: worker, reason });
    this.#workers.avoid(worker);
    if (outcome.kind === "refused") return true;
    this.#sendCancel(worker, run);
    this.#runs.get(run)?.endAsLost("the box did not start it in time");
    return false;
  }

  #sendCancel(worker: string, run: string): void {
    const request: protocol.CancelRequest = { run };
    this.#options.peers.get(worker).notify(protocol.METHODS.cancel, request);
  }

  #handleReport(
    { worker, runs }: protocol.ReportRequest,
  ): protocol.ReportReply {
    this.#workers.recordReport(worker);
    const unknown: string[] = [];
    for (const report of runs) {
      const run = this.#runs.get(report.run);
      if (run?.worker === worker) run.apply(report);
      else unknown.push(report.run);
    }
    return { unknown };
  }

  #scheduleCheck(): void {
    if (this.#isChecking) return;
    this.#isChecking = true;
    this.#options.clock.startTimer(CHECK_INTERVAL_MS, () => {
      this.#isChecking = false;
      this.#endSilentRuns();
      if (this.#runs.size > 0) this.#scheduleCheck();
    });
  }

  /** Ends the runs of boxes that report nothing any more. */
  #endSilentRuns(): void {
    for (const worker of this.#workers.listSilent()) {
      this.#options.log.write("warn", "run.workerSilent", { peer: worker });
      this.#workers.avoid(worker);
      for (const run of [...this.#runs.values()]) {
        if (run.worker === worker) {
          run.endAsLost("the box that ran it is silent");
        }
      }
    }
  }
}
