import type * as registry from "../registry/mod.ts";
import * as attempts from "./_attempt.ts";
import type * as jobs from "./forward_job.ts";

const RESTART_REASON = "the server started again";

/**
 * Sends one attempt, and ends it when its server starts again: it is lost then,
 * which a silent connection tells only at the deadline.
 *
 * @param servers Where a later start of the server is learned of.
 * @param options The attempt.
 * @param sendAttempt Sends it.
 * @returns What became of it.
 */
export async function sendWatched(
  servers: Pick<registry.ServerRegistry, "watch" | "markAbsent">,
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
    servers.markAbsent(options.server);
  }
  if (!hasRestarted || outcome.kind !== "broken") return outcome;
  return { ...outcome, reason: RESTART_REASON, isLifetimeEnded: true };
}
