import * as http from "node:http";
import type * as net from "node:net";
import * as results from "../results/mod.ts";
import * as connectionGuards from "./connection_guard.ts";
import * as clientErrors from "./_respond_client_error.ts";
import * as responses from "./respond.ts";
import * as startListenings from "./start_listening.ts";

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
  /** Called when a connection is closed because of a bound, or can't be accepted. */
  readonly onConnectionClosed?: (
    reason: connectionGuards.ClosingReason,
  ) => void;
}

/** Limits of the connections of a listener, with timeouts in ms. */
export interface ConnectionSettings {
  readonly headersMs: number;
  readonly idleMs: number;
  /** Largest head of a request, in bytes; for connections opened afterwards. */
  readonly headerBytes: number;
}

const DEFAULT_MAX_HEADER_BYTES = 16_384;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Interval between checks for heads that are late, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

function respondThrownError(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
  error: unknown,
): void {
  responses.respondFailure(response, results.toFailure(error));
}

/** A server whose largest head can be changed, which Node reads per connection. */
type AdjustableServer = http.Server & { maxHeaderSize?: number };

/** An HTTP server that tracks requests in flight and can drain connections. */
export class HttpListener {
  readonly #server: AdjustableServer;
  readonly #handler: HttpHandler;
  readonly #options: HttpListenerOptions;
  readonly #guard: connectionGuards.ConnectionGuard;
  readonly #exchanges = new Set<connectionGuards.Exchange>();
  /** Connections that close after the answer to a request already begun. */
  readonly #closingSockets = new WeakSet<net.Socket>();
  #isDraining = false;

  constructor(handler: HttpHandler, options: HttpListenerOptions) {
    this.#handler = handler;
    this.#options = options;
    this.#server = http.createServer({
      headersTimeout: options.headersTimeoutMs,
      requestTimeout: options.requestTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      noDelay: true,
    });
    this.#guard = new connectionGuards.ConnectionGuard((reason) =>
      options.onConnectionClosed?.(reason)
    );
    this.#server.on("connection", (socket) => this.#guard.add(socket));
    this.#server.on("clientError", (error, socket) => {
      // The sockets of an HTTP server are those of TCP connections.
      const connection = socket as net.Socket;
      clientErrors.respondClientError(
        error,
        connection,
        this.#guard.isBusy(connection),
      );
    });
    this.#server.on(
      "request",
      (request, response) => this.#handleRequest({ request, response }),
    );
  }

  /** Returns the number of requests in flight. */
  getInFlightCount(): number {
    return this.#exchanges.size;
  }

  /** Lists the requests in flight. */
  listExchanges(): readonly connectionGuards.Exchange[] {
    return [...this.#exchanges];
  }

  /** Changes the timeouts of connections, including those already open. */
  setConnectionSettings(settings: ConnectionSettings): void {
    this.#server.headersTimeout = settings.headersMs;
    this.#server.keepAliveTimeout = settings.idleMs;
    this.#server.maxHeaderSize = settings.headerBytes;
  }

  /** Sets the bounds of connections. */
  limitConnections(limits: connectionGuards.ConnectionLimits): void {
    this.#guard.limit(limits);
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
    return startListenings.startListening(this.#server, {
      address,
      port,
      onAcceptError: () => this.#options.onConnectionClosed?.("acceptFailed"),
    });
  }

  /** Stops listening and closes idle connections; `force` closes all. */
  close(force: boolean): void {
    this.#server.close();
    if (force) this.#server.closeAllConnections();
    else this.#server.closeIdleConnections();
  }

  #handleRequest(exchange: connectionGuards.Exchange): void {
    const { request, response } = exchange;
    if (this.#closingSockets.has(request.socket)) return;
    const canBegin = this.#guard.admitRequest(exchange);
    response.on(
      "error",
      (error) => this.#options.onResponseError?.(error),
    );
    if (canBegin) this.#beginExchange(exchange);
  }

  #beginExchange(exchange: connectionGuards.Exchange): void {
    const { request, response } = exchange;
    if (this.#closingSockets.has(request.socket)) return;
    const { onHandlerError = respondThrownError } = this.#options;
    this.#exchanges.add(exchange);
    response.once("close", () => this.#endExchange(exchange));
    response.once("prefinish", () => this.#limitReadingTime(exchange));
    if (this.#isDraining) {
      response.setHeader("connection", "close");
      this.#closingSockets.add(request.socket);
    }
    this.#handler(request, response).catch((error: unknown) =>
      onHandlerError(request, response, error)
    );
  }

  #endExchange(exchange: connectionGuards.Exchange): void {
    this.#exchanges.delete(exchange);
    const next = this.#guard.takeNextRequest(exchange.request);
    if (next !== undefined) this.#beginExchange(next);
  }

  /** Closes the connection of a caller that doesn't read its whole answer in time. */
  #limitReadingTime({ request, response }: connectionGuards.Exchange): void {
    const timer = setTimeout(
      () => this.#guard.closeUnread(request),
      this.#server.keepAliveTimeout,
    );
    response.once("close", () => clearTimeout(timer));
  }
}
