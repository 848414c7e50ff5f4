import type * as http from "node:http";
import type * as dialects from "../dialect/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";

/** Largest head that is read, in bytes; the configuration may allow less. */
const MAX_HEADER_BYTES = 65_536;

/** Time in which a request's head must arrive until operators say, in ms. */
const INITIAL_HEADERS_TIMEOUT_MS = 5_000;

/**
 * Creates a listener whose callers speak a platform's dialect.
 *
 * @param handler Answers one request; it ends the response in any case.
 * @param log Told of answers that could not be sent, and of thrown errors.
 * @returns The listener; it does not listen yet.
 */
export function createRawListener(
  handler: httpServer.HttpHandler,
  log: logs.Log,
): httpServer.HttpListener {
  return new httpServer.HttpListener(handler, {
    headersTimeoutMs: INITIAL_HEADERS_TIMEOUT_MS,
    requestTimeoutMs: 0,
    maxHeaderBytes: MAX_HEADER_BYTES,
    onResponseError: ({ message }) =>
      log.write("debug", "answer.unsent", { message }),
    onHandlerError: (request, response, error) => {
      const { stack, message } = error as Error;
      log.write("error", "request.failed", {
        target: request.url,
        message: stack ?? message,
      });
      response.destroy();
    },
  });
}

/**
 * Writes an answer whole; nothing happens once the caller has left.
 *
 * @param response Where to.
 * @param answer The answer.
 */
export function writeAnswer(
  response: http.ServerResponse,
  answer: dialects.RawAnswer,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(answer.body);
  if (answer.isCloseDelimited === true) {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(answer.status, {
      ...answer.headers,
      "connection": "close",
    });
    return void response.end(body);
  }
  response.writeHead(answer.status, {
    ...answer.headers,
    "content-length": String(body.length),
  });
  response.end(body);
}

/**
 * Takes the parts of a request that a dialect reads.
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
