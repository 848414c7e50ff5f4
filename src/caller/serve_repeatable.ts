import * as crypto from "node:crypto";
import type * as httpClient from "../http_client/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as results from "../results/mod.ts";
import * as forward from "./_forward.ts";
import type * as callerContexts from "./caller_context.ts";
import type * as findRoute from "./find_route.ts";

const MAX_ATTEMPTS = 4;
const RETRY_AFTER_MS = 500;

/**
 * Serves a call that may be repeated: when one backend server fails, another
 * is asked, within the retry budget and the deadline.
 *
 * @param context The box.
 * @param call The call.
 * @param route Its route.
 */
export async function serveRepeatable(
  context: callerContexts.CallerContext,
  call: callerContexts.AdmittedCall,
  route: Extract<findRoute.Route, { readonly kind: "service" }>,
): Promise<void> {
  const cancellation = forward.cancelOnDisconnect(call.response);
  let excluded: ReadonlySet<string> = new Set();
  let lastOutcome: httpClient.HttpOutcome = {
    kind: "notSent",
    message: "no backend server is live",
  };
  context.budget.recordFirstAttempt();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0 && !canRetry(context, call, lastOutcome)) break;
    const server = context.table.chooseForService(route.service.name, excluded);
    if (server === undefined) break;
    excluded = new Set([...excluded, server.id]);
    const outcome = await forward.forwardCall(context, call, server, {
      path: route.path,
      requestId: crypto.randomUUID(),
      isFreshConnection: false,
      cancellation,
    });
    if (outcome.kind === "answered") {
      const type = forward.getContentType(outcome.head);
      return forward.sendAnswer(
        call.response,
        outcome.head.status,
        type,
        outcome.body,
      );
    }
    lastOutcome = mergeOutcomes(lastOutcome, outcome);
  }
  httpServer.respondFailure(
    call.response,
    createFinalFailure(lastOutcome).failure,
  );
}

/** Once a try may have run, no later try makes "not run" true again. */
function mergeOutcomes(
  previous: httpClient.HttpOutcome,
  current: httpClient.HttpOutcome,
): httpClient.HttpOutcome {
  return previous.kind === "broken" ? previous : current;
}

function canRetry(
  context: callerContexts.CallerContext,
  call: callerContexts.AdmittedCall,
  lastOutcome: httpClient.HttpOutcome,
): boolean {
  if (context.clock.getMonotonicMs() >= call.deadlineMs) return false;
  if (call.response.destroyed) return false;
  if (lastOutcome.kind === "notSent") return true;
  if (!context.budget.takeRetry()) return false;
  context.metrics.count("caller.retries");
  return true;
}

function createFinalFailure(
  lastOutcome: httpClient.HttpOutcome,
): { readonly failure: results.Failure } {
  if (lastOutcome.kind === "notSent") {
    return results.createFailure(
      "noBackendServer",
      `Cannot serve the call: ${lastOutcome.message}`,
      {
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
  const message = lastOutcome.kind === "broken"
    ? lastOutcome.message
    : "it did not answer";
  return results.createFailure(
    "backendFailed",
    `Cannot serve the call: ${message}`,
    {
      outcome: "unknown",
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
