import type * as registry from "../registry/mod.ts";
import * as attempts from "./_attempt.ts";
import type * as jobs from "./forward_job.ts";

const RESTART_REASON = "the server started again";

/**
 * Sends one attempt and cancels it if its server restarts. The request is lost
 * then, but a half-open connection would not fail before the deadline.
 *
 * @param servers Registry that reports restarts and is told of absent servers.
 * @param options The attempt.
 * @param sendAttempt Sends the attempt; over HTTP by default.
 * @returns The outcome of the attempt.
 */
export async function sendWatched(
  servers: Pick<registry.ServerRegistry, "watch" | "markUnavailable">,
  options: attempts.AttemptOptions,
  sendAttempt: typeof attempts.sendAttempt = attempts.sendAttempt,
): Promise<jobs.AttemptOutcome> {
  let hasRestarted = false;
  const endWatch = servers.watch(options.server.lifetime, () => {
    hasRestarted = true;
    options.cancellation.cancel();
  });
  const outcome = await sendAttempt(options);
  endWatch();
  if (outcome.kind === "notRun" && outcome.isWrongServer === true) {
    servers.markUnavailable(options.server);
  }
  if (!hasRestarted || outcome.kind !== "broken") return outcome;
  return { ...outcome, reason: RESTART_REASON, isLifetimeEnded: true };
}
