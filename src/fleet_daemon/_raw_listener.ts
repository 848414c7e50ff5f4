import type * as http from "node:http";
import type * as dialects from "../dialect/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as results from "../results/mod.ts";
import type * as crowdRecorders from "./_crowd_recorder.ts";

/** Largest request head until a configuration sets one, in bytes. */
const INITIAL_HEADER_BYTES = 16_384;

/** Timeout for a request's head until a configuration sets one, in ms. */
const INITIAL_HEADERS_TIMEOUT_MS = 5_000;

/** Answer to a request whose handler threw: whether it ran is not known. */
const INTERNAL_FAILURE: results.Failure = {
  code: "internal",
  message: "Cannot answer: an internal error",
  outcome: "unknown",
};

/** No Content and Not Modified. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Options of `createRawListener`. */
export interface RawListenerOptions {
  readonly name: crowdRecorders.ListenerName;
  /** Most connections of callers. */
  readonly maxConnections: number;
  /** Receives unsent answers and thrown errors. */
  readonly log: logs.Log;
  readonly crowds: crowdRecorders.CrowdRecorder;
}

/**
 * Creates an HTTP listener that logs unsent answers and failed requests. A request whose
 * handler throws is answered as failed.
 *
 * @param handler Handles one request and ends its response.
 * @param options Name and bounds of the listener, and what it reports to.
 * @returns The listener, not yet listening.
 */
export function createRawListener(
  handler: httpServer.HttpHandler,
  options: RawListenerOptions,
): httpServer.HttpListener {
  const { log, name, crowds, maxConnections } = options;
  const listener = new httpServer.HttpListener(handler, {
    headersTimeoutMs: INITIAL_HEADERS_TIMEOUT_MS,
    requestTimeoutMs: 0,
    maxHeaderBytes: INITIAL_HEADER_BYTES,
    onResponseError: ({ message }) =>
      log.write("debug", "answer.unsent", { message }),
    onHandlerError: (request, response, error) => {
      const { stack, message } = error as Error;
      log.write("error", "request.failed", {
        target: request.url,
        message: stack ?? message,
      });
      httpServer.respondFailure(response, INTERNAL_FAILURE);
    },
    onConnectionClosed: (reason) =>
      crowds.record(name, { kind: "connectionClosed", reason }),
  });
  listener.limitConnections({ maxConnections });
  return listener;
}

/**
 * Writes an answer and ends the response, with the length of its body, so that one that
 * breaks off does not look whole. Does nothing if the response was begun or its
 * connection closed.
 *
 * @param response The response to write to.
 * @param answer The answer.
 */
export function writeAnswer(
  response: http.ServerResponse,
  answer: dialects.RawAnswer,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = typeof answer.body === "string"
    ? Buffer.from(answer.body)
    : answer.body;
  httpServer.prepareAnswer(response, body);
  const { status, headers } = answer;
  response.writeHead(
    status,
    hasBody(response.req, status)
      ? { ...headers, "content-length": String(body.length) }
      : headers,
  );
  response.end(body);
}

/** Tells whether an answer has a body, even an empty one (RFC 9110, section 6.4.1). */
function hasBody({ method }: http.IncomingMessage, status: number): boolean {
  return method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(status);
}

/**
 * Converts a request to the form that dialects parse.
 *
 * @param request The request.
 * @returns Its method, target and headers.
 */
export function toRawRequest(
  request: http.IncomingMessage,
): dialects.RawRequest {
  return {
    method: request.method ?? "",
    target: request.url ?? "",
    headers: request.headers,
  };
}
