import * as http from "node:http";
import type * as dialects from "../dialect/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as logs from "../log/mod.ts";

/** Largest head that is read, in bytes; the configuration may allow less. */
const MAX_HEADER_BYTES = 65_536;

/** Answers one request; it ends the response in any case. */
export type RawHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** Times of a listener's connections, in ms. */
export interface ConnectionTimes {
  readonly headersMs: number;
  readonly idleMs: number;
}

/** Time in which a request's head must arrive until operators say, in ms. */
const FIRST_HEADERS_MS = 5_000;
/** Time that a connection may rest until operators say, in ms. */
const FIRST_IDLE_MS = 30_000;

/** An HTTP listener that knows its requests in flight. */
export class RawListener {
  readonly #server: http.Server;
  readonly #log: logs.Log;
  #inFlight = 0;
  #isDraining = false;

  constructor(handler: RawHandler, log: logs.Log) {
    this.#log = log;
    this.#server = http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: FIRST_HEADERS_MS,
      requestTimeout: 0,
      keepAliveTimeout: FIRST_IDLE_MS,
      noDelay: true,
    });
    this.#server.on(
      "request",
      (request, response) => this.#serve(handler, request, response),
    );
  }

  getInFlight(): number {
    return this.#inFlight;
  }

  /** Follows what the configuration says of callers' connections. */
  setTimes(times: ConnectionTimes): void {
    this.#server.headersTimeout = times.headersMs;
    this.#server.keepAliveTimeout = times.idleMs;
  }

  /** From now on each answer asks its caller to use another connection. */
  setDraining(): void {
    this.#isDraining = true;
  }

  listen(endpoint: fleetSettings.Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(
        endpoint.port,
        endpoint.address,
        () => resolve(),
      );
    });
  }

  /** Closes the connections that rest, and takes no more. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  #serve(
    handler: RawHandler,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    this.#inFlight += 1;
    response.once("close", () => {
      this.#inFlight -= 1;
    });
    response.on(
      "error",
      (error) =>
        this.#log.write("debug", "answer.unsent", { message: error.message }),
    );
    if (this.#isDraining) response.setHeader("connection", "close");
    handler(request, response).catch((error: Error) => {
      this.#log.write("error", "request.failed", {
        target: request.url,
        message: error.stack ?? error.message,
      });
      response.destroy();
    });
  }
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
