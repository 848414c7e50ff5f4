import type * as itemRuns from "../item_run/mod.ts";
import type * as protocol from "./protocol.ts";

/** Reason of a run that its sender cancelled. */
const CANCELLED_REASON = "it was cancelled";

/** Outcome of a scoring call that another box did not complete. */
const UNSCORED: itemRuns.ScoreOutcome = {
  kind: "unanswered",
  reason: "the box that was to score it is gone",
};

/** Parameters of a remote run. */
export interface RemoteRunParams {
  /** Id of the box that runs the item. */
  readonly worker: string;
  readonly options: itemRuns.RunItemOptions;
  /** Called if the run is cancelled before it has ended. */
  readonly onCancel: () => void;
  /** Called once the run has ended, also after `onCancel`. */
  readonly onEnd: (outcome: itemRuns.RunOutcome) => void;
  /** Called once nothing more is expected of the box. */
  readonly onClose: () => void;
}

/** The leader's view of a run at another box. */
export class RemoteRun {
  /** Id of the box that runs the item. */
  readonly worker: string;
  readonly #options: itemRuns.RunItemOptions;
  readonly #onEnd: RemoteRunParams["onEnd"];
  readonly #onClose: () => void;
  readonly #onCancel: () => void;
  /** Takes the outcome of the scoring call; set once it has begun. */
  #onScore: ((score: itemRuns.ScoreOutcome) => void) | undefined;
  #isEnded = false;
  #isClosed = false;

  constructor(params: RemoteRunParams) {
    const { worker, options, onCancel, onEnd, onClose } = params;
    this.worker = worker;
    this.#options = options;
    this.#onEnd = onEnd;
    this.#onClose = onClose;
    this.#onCancel = () => {
      onCancel();
      this.endAsLost(CANCELLED_REASON);
    };
    options.cancellation.addListener(this.#onCancel);
  }

  /** Adds what the box reported; events that are known already are skipped. */
  apply(report: protocol.RunReport): void {
    if (!this.#isEnded) this.#applyEvents(report);
    if (report.score !== undefined) this.#close(report.score);
  }

  #applyEvents({ events, version, end }: protocol.RunReport): void {
    const { progress, onEvent, onVersion } = this.#options;
    if (version !== undefined) onVersion(version);
    for (const event of events) {
      const lastId = progress.getLastId();
      if (lastId !== undefined && event.id <= lastId) continue;
      if (!progress.add(event)) return this.endAsLost("an event is missing");
      onEvent(event);
      if (this.#isEnded) return;
    }
    if (end === undefined) return;
    if (end.isTextDiscarded) progress.reset();
    if (end.outcome.kind !== "finished" || !end.isScoring) {
      this.#end(end.outcome);
      return this.#close(UNSCORED);
    }
    const scored = new Promise<itemRuns.ScoreOutcome>((resolve) => {
      this.#onScore = resolve;
    });
    this.#end({ ...end.outcome, scored });
  }

  /** Ends the run, or its scoring, without a word about its engine. */
  endAsLost(reason: string): void {
    this.#end({ kind: "lost", reason });
    this.#close(UNSCORED);
  }

  /** Forgets a run that its box did not start; it ends without a call. */
  discard(): void {
    this.#isEnded = true;
    this.#close(UNSCORED);
  }

  #end(outcome: itemRuns.RunOutcome): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onEnd(outcome);
  }

  #close(score: itemRuns.ScoreOutcome): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#options.cancellation.removeListener(this.#onCancel);
    this.#onScore?.(score);
    this.#onClose();
  }
}
