import type * as registry from "../registry/mod.ts";
import * as attempts from "./_attempt.ts";
import type * as jobs from "./forward_job.ts";

const STARTED_AGAIN = "the server started again";

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
  servers: Pick<registry.ServerRegistry, "watch" | "markUnavailable">,
  options: attempts.AttemptOptions,
  sendAttempt: typeof attempts.sendAttempt = attempts.sendAttempt,
): Promise<jobs.AttemptOutcome> {
  let isReplaced = false;
  const endWatch = servers.watch(options.server.lifetime, () => {
    isReplaced = true;
    options.cancellation.cancel();
  });
  const outcome = await sendAttempt(options);
  endWatch();
  if (outcome.kind === "notRun" && outcome.isOther === true) {
    servers.markUnavailable(options.server);
  }
  if (!isReplaced || outcome.kind !== "broken") return outcome;
  return { ...outcome, reason: STARTED_AGAIN, isEnded: true };
}
