import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as serverLoads from "./server_loads.ts";

const FIRST_ERROR_STATUS = 500;

/** An attempt that has ended. */
export interface FinishedAttempt {
  readonly outcome: jobs.AttemptOutcome;
  readonly durationMs: number;
  /** Whether the job had not been settled when the attempt ended. */
  readonly isJobPending: boolean;
}

/**
 * Updates the load and failure rate of a server after an attempt.
 *
 * @param loads Loads of all servers.
 * @param server Lifetime of the server.
 * @param attempt The attempt.
 */
export function recordAttempt(
  loads: serverLoads.ServerLoads,
  server: registry.LifetimeKey,
  { outcome, durationMs, isJobPending }: FinishedAttempt,
): void {
  switch (outcome.kind) {
    case "answered":
      loads.recordEnd(server, durationMs, outcome.answer.head.load?.slowness);
      loads.recordOutcome(server, outcome.answer.status < FIRST_ERROR_STATUS);
      return;
    case "notRun":
      loads.recordEnd(server, undefined);
      loads.recordOutcome(server, false);
      return;
    case "broken":
      // An attempt cancelled because the job was settled is not a failure of
      // the server.
      loads.recordUnanswered(server, durationMs);
      if (isJobPending) loads.recordOutcome(server, false);
      return;
  }
}

/**
 * Records the load that a server reported with an answer or a refusal.
 *
 * @param loads Loads of all servers.
 * @param server Lifetime of the server.
 * @param outcome Outcome of the attempt.
 */
export function recordReportedLoad(
  loads: serverLoads.ServerLoads,
  server: registry.LifetimeKey,
  outcome: jobs.AttemptOutcome,
): void {
  if (outcome.kind === "broken") return;
  const load = outcome.kind === "answered"
    ? outcome.answer.head.load
    : outcome.load;
  if (load !== undefined) loads.recordReport(server, load);
}
