import * as http from "node:http";
import type * as net from "node:net";
import * as results from "../results/mod.ts";
import * as responses from "./respond.ts";

/** Handles one request and sends its response. */
export type HttpHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** Limits and error callbacks of a listener. */
export interface HttpListenerOptions {
  /** Timeout to receive the head of a request, in ms. */
  readonly headersTimeoutMs: number;
  /** Timeout to receive a whole request, in ms; 0 for no limit. */
  readonly requestTimeoutMs: number;
  /** Largest head of a request, in bytes; default 16 KiB. */
  readonly maxHeaderBytes?: number;
  /** Ends the response of a handler that threw; default is a failure response. */
  readonly onHandlerError?: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    error: unknown,
  ) => void;
  /** Called when a response can't be sent, as after the caller disconnected. */
  readonly onResponseError?: (error: Error) => void;
}

/** Timeouts of the connections of a listener, in ms. */
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

/** A request that has not been answered whole. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** An HTTP server that tracks requests in flight and can drain connections. */
export class HttpListener {
  readonly #server: http.Server;
  readonly #options: HttpListenerOptions;
  readonly #exchanges = new Set<Exchange>();
  /** Connections that close after the answer to a request already begun. */
  readonly #closingSockets = new WeakSet<net.Socket>();
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

  /** Returns the number of requests in flight. */
  getInFlightCount(): number {
    return this.#exchanges.size;
  }

  /** Lists the requests in flight. */
  listExchanges(): readonly Exchange[] {
    return [...this.#exchanges];
  }

  /** Changes the timeouts of connections, including those already open. */
  setConnectionTimeouts(timeouts: ConnectionTimeouts): void {
    this.#server.headersTimeout = timeouts.headersMs;
    this.#server.keepAliveTimeout = timeouts.idleMs;
  }

  /**
   * Makes every later response close its connection. Requests that were sent
   * behind such a one on its connection are not handled.
   */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Listens on an address; rejects if that fails. */
  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, () => resolve());
    });
  }

  /** Stops listening and closes idle connections; `force` closes all. */
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
    if (this.#closingSockets.has(request.socket)) return;
    const exchange: Exchange = { request, response };
    this.#exchanges.add(exchange);
    response.once("close", () => this.#exchanges.delete(exchange));
    const {
      onHandlerError: onHandlerError = respondThrownError,
      onResponseError,
    } = this.#options;
    response.on("error", (error) => onResponseError?.(error));
    if (this.#isDraining) {
      response.setHeader("connection", "close");
      this.#closingSockets.add(request.socket);
    }
    handler(request, response).catch((error: unknown) =>
      onHandlerError(request, response, error)
    );
  }
}
