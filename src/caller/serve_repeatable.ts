import * as crypto from "node:crypto";
import type * as httpClient from "../http_client/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as results from "../results/mod.ts";
import * as forwards from "./_forward.ts";
import type * as callerContexts from "./caller_context.ts";
import type * as findRoute from "./find_route.ts";

const MAX_TRIES = 4;
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
  const cancellation = forwards.watchCaller(call.response);
  let excluded: ReadonlySet<string> = new Set();
  let last: httpClient.HttpOutcome = {
    kind: "notSent",
    message: "no backend server is live",
  };
  context.budget.addFirstTry();
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    if (attempt > 0 && !canRetry(context, call, last)) break;
    const server = context.table.choosePlain(route.service.name, excluded);
    if (server === undefined) break;
    excluded = new Set([...excluded, server.id]);
    const outcome = await forwards.forwardCall(context, call, server, {
      path: route.path,
      requestId: crypto.randomUUID(),
      isFreshConnection: false,
      cancellation,
    });
    if (outcome.kind === "answered") {
      const type = forwards.getContentType(outcome.head);
      return forwards.answerWhole(
        call.response,
        outcome.head.status,
        type,
        outcome.body,
      );
    }
    last = mergeOutcomes(last, outcome);
  }
  httpServer.respondFailure(call.response, createLastFailure(last).failure);
}

/** Once a try may have run, no later try makes "not run" true again. */
function mergeOutcomes(
  before: httpClient.HttpOutcome,
  now: httpClient.HttpOutcome,
): httpClient.HttpOutcome {
  return before.kind === "broken" ? before : now;
}

function canRetry(
  context: callerContexts.CallerContext,
  call: callerContexts.AdmittedCall,
  last: httpClient.HttpOutcome,
): boolean {
  if (context.clock.getMonotonicMs() >= call.deadlineMs) return false;
  if (call.response.destroyed) return false;
  if (last.kind === "notSent") return true;
  if (!context.budget.takeRetry()) return false;
  context.metrics.count("caller.retries");
  return true;
}

function createLastFailure(
  last: httpClient.HttpOutcome,
): { readonly failure: results.Failure } {
  if (last.kind === "notSent") {
    return results.createFailure(
      "noBackendServer",
      `Cannot serve the call: ${last.message}`,
      {
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
  const message = last.kind === "broken" ? last.message : "it did not answer";
  return results.createFailure(
    "backendFailed",
    `Cannot serve the call: ${message}`,
    {
      outcome: "unknown",
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
