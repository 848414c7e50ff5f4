import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as serverLoads from "./server_loads.ts";

const FIRST_ERROR_STATUS = 500;

/** A try that has ended. */
export interface FinishedAttempt {
  readonly outcome: jobs.AttemptOutcome;
  readonly durationMs: number;
  /** Whether its job still waited for an answer. */
  readonly isJobPending: boolean;
}

/**
 * Tells the loads what a try says of its server.
 *
 * @param loads Loads of all servers.
 * @param server Start of the server that was tried.
 * @param ended The try.
 */
export function recordAttempt(
  loads: serverLoads.ServerLoads,
  server: registry.LifetimeKey,
  { outcome, durationMs: durationMs, isJobPending: isJobPending }:
    FinishedAttempt,
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
      // A try that was cancelled because another one answered first, or
      // because its caller left, says nothing of the server's soundness.
      loads.recordUnanswered(server, durationMs);
      if (isJobPending) loads.recordOutcome(server, false);
      return;
  }
}

/**
 * Notes the load that a server told, with an answer or a refusal.
 *
 * @param loads Loads of all servers.
 * @param server Start of the server that was tried.
 * @param outcome What became of the try.
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
