import type * as backendServers from "../backend_server/mod.ts";
import * as csp from "../csp/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import type * as http from "node:http";
import type * as callerContexts from "./caller_context.ts";

/** Headers of the caller's request that are forwarded. */
const FORWARDED_HEADERS = ["content-type", "accept"] as const;

/** How a call is forwarded to one backend server. */
export interface ForwardRequest {
  readonly path: string;
  readonly requestId: string;
  readonly isFreshConnection: boolean;
  /** Aborts the request when cancelled. */
  readonly cancellation: csp.Cancellation;
}

function pickHeaders(
  headers: http.IncomingHttpHeaders,
): Readonly<Record<string, string>> {
  const entries = FORWARDED_HEADERS
    .map((name) => [name, headers[name]] as const)
    .filter((entry): entry is readonly ["content-type" | "accept", string] =>
      entry[1] !== undefined
    );
  return Object.fromEntries(entries);
}

/** Sends an admitted call to one backend server, counted as in flight. */
export async function forwardCall(
  context: callerContexts.CallerContext,
  call: callerContexts.AdmittedCall,
  server: backendServers.BackendServer,
  request: ForwardRequest,
): Promise<httpClient.HttpOutcome> {
  const { table, settings: { limits } } = context;
  table.addRequest(server.id);
  const outcome = await httpClient.sendRequest({
    address: server.address,
    port: server.port,
    method: call.request.method ?? "GET",
    path: request.path,
    headers: {
      ...pickHeaders(call.request.headers),
      "x-request-id": request.requestId,
    },
    ...(call.body.length === 0 ? {} : { body: call.body }),
    timeoutMs: Math.max(1, call.deadlineMs - context.clock.getMonotonicMs()),
    connectTimeoutMs: limits.connectTimeoutMs,
    requestId: request.requestId,
    isFreshConnection: request.isFreshConnection,
    cancellation: request.cancellation,
  });
  table.removeRequest(server.id, outcome.kind !== "answered");
  return checkRequestId(outcome, request.requestId);
}

/** Treats a response whose `x-request-id` names another request as broken. */
function checkRequestId(
  outcome: httpClient.HttpOutcome,
  requestId: string,
): httpClient.HttpOutcome {
  if (outcome.kind !== "answered") return outcome;
  const answeredId = outcome.head.headers["x-request-id"];
  if (answeredId === undefined || answeredId === requestId) return outcome;
  return {
    kind: "broken",
    message: "it answered another request",
    isClosed: false,
    head: outcome.head,
  };
}

/**
 * Sends a backend server's complete response to the caller. The body is
 * written as a latin1 string, which preserves every byte, so that Node.js sends
 * head and body in one write.
 */
export function sendAnswer(
  response: http.ServerResponse,
  status: number,
  contentType: string,
  body: Buffer,
): void {
  if (response.destroyed) return;
  response.writeHead(status, {
    "content-type": contentType,
    "content-length": String(body.length),
    "x-hoistscale-outcome": "ran",
  });
  response.end(body.toString("latin1"), "latin1");
}

/** Returns the content type of a response, or the default for binary data. */
export function getContentType(head: httpClient.ResponseHead): string {
  const value = head.headers["content-type"];
  return typeof value === "string" ? value : "application/octet-stream";
}

/** Creates a cancellation that fires if the caller disconnects early. */
export function cancelOnDisconnect(
  response: http.ServerResponse,
): csp.Cancellation {
  const cancellation = new csp.Cancellation();
  response.once("close", () => {
    if (!response.writableFinished) cancellation.cancel();
  });
  return cancellation;
}
