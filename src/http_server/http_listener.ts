import * as http from "node:http";
import * as results from "../results/mod.ts";
import * as responses from "./respond.ts";

/** Answers one request. */
export type HttpHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** Bounds of a listener, and what it tells of. */
export interface HttpListenerOptions {
  /** Time for the head of a request, in ms. */
  readonly headersTimeoutMs: number;
  /** Time for a whole request to arrive, in ms; 0 for no bound. */
  readonly requestTimeoutMs: number;
  /** Largest head, in bytes; 16 KiB unless given. */
  readonly maxHeaderBytes?: number;
  /** Ends a response whose handler threw; answers the error unless given. */
  readonly onHandlerError?: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    error: unknown,
  ) => void;
  /** Told of an answer that could not be sent; its caller has left. */
  readonly onResponseError?: (error: Error) => void;
}

/** Time limits of a listener's connections, in ms. */
export interface ConnectionTimeouts {
  readonly headersMs: number;
  readonly idleMs: number;
}

const DEFAULT_MAX_HEADER_BYTES = 16_384;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

function respondThrownError(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
  error: unknown,
): void {
  responses.respondFailure(response, results.toFailure(error));
}

/** An HTTP server whose requests in flight are counted. */
export class HttpListener {
  readonly #server: http.Server;
  readonly #options: HttpListenerOptions;
  #inFlightCount = 0;
  #isDraining = false;

  constructor(handler: HttpHandler, options: HttpListenerOptions) {
    this.#options = options;
    this.#server = http.createServer({
      headersTimeout: options.headersTimeoutMs,
      requestTimeout: options.requestTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      noDelay: true,
    });
    this.#server.on(
      "request",
      (request, response) => this.#handleRequest(handler, request, response),
    );
  }

  /** Requests that are being answered. */
  getInFlightCount(): number {
    return this.#inFlightCount;
  }

  /** Sets the limits of connections anew, also of open ones. */
  setConnectionTimeouts(timeouts: ConnectionTimeouts): void {
    this.#server.headersTimeout = timeouts.headersMs;
    this.#server.keepAliveTimeout = timeouts.idleMs;
  }

  /** From now on each answer asks its caller to use another connection. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Starts to listen. */
  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, () => resolve());
    });
  }

  /** Stops; with `force` open connections are cut. */
  close(force: boolean): void {
    this.#server.close();
    if (force) this.#server.closeAllConnections();
    else this.#server.closeIdleConnections();
  }

  #handleRequest(
    handler: HttpHandler,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    this.#inFlightCount += 1;
    response.once("close", () => {
      this.#inFlightCount -= 1;
    });
    const {
      onHandlerError: onHandlerError = respondThrownError,
      onResponseError: onResponseError,
    } = this.#options;
    response.on("error", (error) => onResponseError?.(error));
    if (this.#isDraining) response.setHeader("connection", "close");
    handler(request, response).catch((error: unknown) =>
      onHandlerError(request, response, error)
    );
  }
}
