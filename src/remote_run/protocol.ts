import type * as itemRuns from "../item_run/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Names of the RPC methods of remote runs. */
export const METHODS = {
  start: "run.start",
  cancel: "run.cancel",
  report: "run.report",
} as const;

/** Asks a store box to run items that its replica holds. */
export interface StartRequest {
  /** Id of the box to report to. */
  readonly leader: string;
  readonly runs: readonly RunOrder[];
}

/** A run of an item. */
export interface RunOrder {
  /** Id of the run, unique among all runs of all leaders. */
  readonly run: string;
  readonly submission: string;
  readonly item: string;
  readonly engine: registry.RegisteredServer;
  /** Last event of the text so far; undefined to start from the beginning. */
  readonly lastId: number | undefined;
  /** Weight versions that generated the text so far. */
  readonly versions: readonly number[];
  /** Time without an event after which the run is aborted, in ms. */
  readonly stallTimeoutMs: number;
}

/** Answer to a request to run items; all others have been started. */
export interface StartReply {
  readonly refused: readonly RefusedRun[];
}

/** A run that has not been started and will not be. */
export interface RefusedRun {
  readonly run: string;
  readonly reason: string;
}

/** Cancels a run. */
export interface CancelRequest {
  readonly run: string;
}

/** What happened in a run since the report before. */
export interface RunReport {
  readonly run: string;
  /** New events; those of a report without a reply are sent again. */
  readonly events: readonly itemRuns.RunEvent[];
  /** Newest weight version that the engine told. */
  readonly version: number | undefined;
  /** Set when the run has ended. */
  readonly end: RunEnd | undefined;
  /** Outcome of the scoring call, once it has one. */
  readonly score: itemRuns.ScoreOutcome | undefined;
}

/** How a remote run ended. */
export interface RunEnd {
  readonly outcome: itemRuns.RunOutcome;
  /** Whether the text so far has to be discarded. */
  readonly isTextDiscarded: boolean;
  /** Whether the outcome of a scoring call is going to follow. */
  readonly isScoring: boolean;
}

/** Reports all runs of a box for one leader; also shows that the box lives. */
export interface ReportRequest {
  /** Id of the box that runs the items. */
  readonly worker: string;
  readonly runs: readonly RunReport[];
}

/** Reply to a report. */
export interface ReportReply {
  /** Runs that the receiver does not wait for; they are to be cancelled. */
  readonly unknown: readonly string[];
}
