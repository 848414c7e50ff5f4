import type * as clocks from "../clock/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 100;
/** Delay of a report after the end of a run, in ms, to gather further ends. */
const END_DELAY_MS = 20;
/** Timeout of a report, in ms. */
const REPORT_TIMEOUT_MS = 600;
/**
 * Time without a reply after which the leader is given up, in ms; about that in
 * which a leader without a quorum cancels its own runs.
 */
const LEADER_TIMEOUT_MS = 2_000;

/** Options of a report outbox. */
export interface ReportOutboxOptions {
  readonly clock: clocks.Clock;
  /** Id of this box. */
  readonly worker: string;
  readonly leader: rpc.Peer;
  /** Cancels a run that nobody waits for. */
  readonly cancelRun: (run: string) => void;
}

/** What is to be reported of a run. */
interface PendingReport {
  readonly events: itemRuns.RunEvent[];
  version: number | undefined;
  end: protocol.RunEnd | undefined;
  score: itemRuns.ScoreOutcome | undefined;
}

/**
 * Gathers what happens in the runs for one leader and reports it in batches, one
 * report at a time. What has no reply yet is reported again.
 */
export class ReportOutbox {
  readonly #options: ReportOutboxOptions;
  readonly #pending = new Map<string, PendingReport>();
  /** When the leader last replied, or the first run began, in monotonic ms. */
  #heardAtMs: number;
  #cancelTimer: clocks.CancelTimer | undefined;
  #isReporting = false;

  constructor(options: ReportOutboxOptions) {
    this.#options = options;
    this.#heardAtMs = options.clock.getMonotonicMs();
  }

  /** Adds a run, which is reported until its end is. */
  addRun(run: string): void {
    if (this.#pending.size === 0) {
      this.#heardAtMs = this.#options.clock.getMonotonicMs();
    }
    this.#pending.set(run, {
      events: [],
      version: undefined,
      end: undefined,
      score: undefined,
    });
    this.#schedule(REPORT_INTERVAL_MS);
  }

  addEvent(run: string, event: itemRuns.RunEvent): void {
    this.#pending.get(run)?.events.push(event);
  }

  setVersion(run: string, version: number): void {
    const pending = this.#pending.get(run);
    if (pending !== undefined) pending.version = version;
  }

  endRun(run: string, end: protocol.RunEnd): void {
    const pending = this.#pending.get(run);
    if (pending === undefined) return;
    pending.end = end;
    this.#advanceReport();
  }

  /** Sets the outcome of the scoring call of a run that has ended. */
  setScore(run: string, score: itemRuns.ScoreOutcome): void {
    const pending = this.#pending.get(run);
    if (pending === undefined) return;
    pending.score = score;
    this.#advanceReport();
  }

  /** Reports nothing more of a run. */
  removeRun(run: string): void {
    this.#pending.delete(run);
  }

  /** Brings the next report forward. */
  #advanceReport(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    this.#schedule(END_DELAY_MS);
  }

  #schedule(delayMs: number): void {
    if (this.#cancelTimer !== undefined || this.#isReporting) return;
    this.#cancelTimer = this.#options.clock.startTimer(delayMs, () => {
      this.#cancelTimer = undefined;
      void this.#report();
    });
  }

  async #report(): Promise<void> {
    if (this.#pending.size === 0) return;
    const { clock, worker, leader } = this.#options;
    const runs = [...this.#pending].map(createReport);
    const request: protocol.ReportRequest = { worker, runs };
    this.#isReporting = true;
    try {
      const reply = await leader.call<protocol.ReportReply>(
        protocol.METHODS.report,
        request,
        REPORT_TIMEOUT_MS,
      );
      this.#heardAtMs = clock.getMonotonicMs();
      this.#discardReported(runs, reply);
    } catch {
      // Nothing is lost: what was reported stays pending and is sent again.
      this.#checkLeader();
    }
    this.#isReporting = false;
    if (this.#pending.size === 0) return;
    const isUrgent = [...this.#pending.values()].some(isComplete);
    this.#schedule(isUrgent ? END_DELAY_MS : REPORT_INTERVAL_MS);
  }

  #discardReported(
    runs: readonly protocol.RunReport[],
    { unknown }: protocol.ReportReply,
  ): void {
    for (const report of runs) {
      this.#pending.get(report.run)?.events.splice(0, report.events.length);
      if (isComplete(report)) this.removeRun(report.run);
    }
    for (const run of unknown) this.#dropRun(run);
  }

  /** Abandons all runs if the leader has not replied for too long. */
  #checkLeader(): void {
    const silentMs = this.#options.clock.getMonotonicMs() - this.#heardAtMs;
    if (silentMs < LEADER_TIMEOUT_MS) return;
    for (const run of [...this.#pending.keys()]) this.#dropRun(run);
  }

  #dropRun(run: string): void {
    this.removeRun(run);
    this.#options.cancelRun(run);
  }
}

function createReport(
  [run, { events, version, end, score }]: readonly [string, PendingReport],
): protocol.RunReport {
  return { run, events: [...events], version, end, score };
}

/** Whether nothing more is going to be reported of a run. */
function isComplete(
  { end, score }: Pick<protocol.RunReport, "end" | "score">,
): boolean {
  return end !== undefined && (!end.isScoring || score !== undefined);
}
