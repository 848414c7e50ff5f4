import * as http from "node:http";
import type * as net from "node:net";
import type * as csp from "../csp/mod.ts";
import * as agents from "./_agent.ts";
import type * as httpRequests from "./http_request.ts";
import * as isFramed from "./is_framed.ts";
import * as misdirected from "./misdirected_status.ts";
import * as probeResets from "./_probe_reset.ts";
import * as validateHeads from "./_validate_head.ts";

/** Events of an exchange; the last is one call of `onEnd` or `onFail`. */
export interface ExchangeListener {
  /** Called with the head of the response. */
  onHead(head: httpRequests.ResponseHead): void;
  /** Called with each chunk of the body. */
  onData(chunk: Buffer): void;
  /** Called when the response is complete. */
  onEnd(): void;
  /** Called when the exchange failed without a complete response. */
  onFail(failure: ExchangeFailure): void;
}

/** The reason why an exchange failed. */
export interface ExchangeFailure {
  readonly message: string;
  /** Whether the request may have been sent, and so may have run. */
  readonly isSent: boolean;
  /** Whether the server closed or reset the connection. */
  readonly isClosed: boolean;
}

/** Error codes of a connection that the server closed or reset. */
const CONNECTION_CLOSED_CODES: ReadonlySet<string | undefined> = new Set([
  "ECONNRESET",
  "EPIPE",
]);

/** Most interim responses (1xx) before the final one. */
const MAX_INTERIM_RESPONSES = 8;

/** A request in progress. */
export interface Exchange {
  /** Aborts the request; the listener is not called any more. */
  cancel(): void;
}

/** Runs one request and reports its events to the listener. */
class PendingExchange implements Exchange {
  readonly #listener: ExchangeListener;
  readonly #request: http.ClientRequest;
  #isSettled = false;
  #isSent = false;
  readonly #cancellation: csp.Cancellation | undefined;
  readonly #checkHead: httpRequests.HttpRequest["checkHead"];
  readonly #onCancel: () => void;
  #timer: NodeJS.Timeout | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  #interimCount = 0;

  constructor(
    options: httpRequests.HttpRequest,
    listener: ExchangeListener,
  ) {
    this.#listener = listener;
    this.#cancellation = options.cancellation;
    this.#checkHead = options.checkHead;
    this.#onCancel = () => this.#fail("it was cancelled");
    this.#request = http.request({
      host: options.address,
      port: options.port,
      method: options.method,
      path: options.path,
      headers: createHeaders(options),
      agent: agents.chooseAgent(options),
    });
    this.#attachListeners(options);
    this.#request.end(options.body);
  }

  cancel(): void {
    this.#settle();
    this.#request.destroy();
  }

  #attachListeners(options: httpRequests.HttpRequest): void {
    const connectTimeoutMs = options.connectTimeoutMs ??
      agents.DEFAULT_CONNECT_TIMEOUT_MS;
    this.#timer = setTimeout(
      () => this.#fail("the deadline passed"),
      options.timeoutMs,
    );
    this.#request.on(
      "socket",
      (socket) => {
        agents.recordSend(socket, options.requestId);
        this.#trackConnection(socket, connectTimeoutMs);
      },
    );
    this.#request.on("error", (error) => this.#failWithError(error));
    this.#request.on("information", () => this.#countInterim());
    this.#request.on("response", (response) => this.#readResponse(response));
    this.#request.on("upgrade", (_response, socket) => {
      socket.destroy();
      this.#fail("the server changed the protocol");
    });
    this.#cancellation?.addListener(this.#onCancel);
    if (this.#cancellation?.isCancelled() === true) this.#onCancel();
  }

  #trackConnection(socket: net.Socket, connectTimeoutMs: number): void {
    if (!socket.connecting) {
      this.#isSent = true;
      return;
    }
    this.#connectTimer = setTimeout(
      () => this.#fail("the connection was not made in time"),
      connectTimeoutMs,
    );
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      this.#isSent = true;
    });
  }

  /** Interim responses may come without end, and no timeout restarts for them. */
  #countInterim(): void {
    this.#interimCount += 1;
    if (this.#interimCount <= MAX_INTERIM_RESPONSES) return;
    this.#fail("too many interim responses");
  }

  #readResponse(response: http.IncomingMessage): void {
    if (this.#isSettled) return;
    const head = {
      status: response.statusCode ?? 0,
      headers: response.headers,
    };
    const acceptEncoding = this.#request.getHeader("accept-encoding");
    const problem = validateHeads.validateHead(response, acceptEncoding) ??
      this.#checkHead?.(head);
    if (problem !== undefined) return this.#fail(problem);
    this.#listener.onHead(head);
    response.on("data", (chunk: Buffer) => {
      if (!this.#isSettled) this.#listener.onData(chunk);
    });
    response.on("error", (error) => this.#failWithError(error));
    response.on("close", () => {
      if (!response.complete) this.#fail("the answer ended early", true);
    });
    response.on("end", () => this.#finish(response.complete));
    if (!isFramed.isFramed(head)) this.#watchConnectionEnd(response);
    // No request may follow on the connection: a surplus copy of such an answer
    // may name no request.
    if (head.status === misdirected.MISDIRECTED_STATUS) {
      const { socket } = response;
      response.once("end", () => socket.destroy());
    }
  }

  /**
   * Checks the end of the connection under a response without a length, before Node's
   * own listeners end the response and this side of the connection.
   */
  #watchConnectionEnd(response: http.IncomingMessage): void {
    const { socket } = response;
    const check = this.#checkConnectionEnd.bind(this, response);
    socket.prependOnceListener("end", check);
    response.once("close", () => socket.off("end", check));
  }

  /**
   * Fails the response unless its connection ended in order, after the whole request
   * was written; Node takes any end for that of the response. One without a body is
   * complete before.
   */
  #checkConnectionEnd({ socket, complete }: http.IncomingMessage): void {
    if (this.#isSettled || complete) return;
    if (!this.#request.writableFinished) {
      return this.#fail("the connection ended before the request", true);
    }
    if (!probeResets.probeReset(socket)) return;
    this.#fail("the connection was reset", true);
  }

  #finish(isComplete: boolean): void {
    if (this.#isSettled) return;
    if (!isComplete) return this.#fail("the answer ended early", true);
    this.#settle();
    this.#listener.onEnd();
  }

  #failWithError(error: NodeJS.ErrnoException): void {
    this.#fail(error.message, CONNECTION_CLOSED_CODES.has(error.code));
  }

  #fail(message: string, isClosed = false): void {
    if (this.#isSettled) return;
    this.#settle();
    this.#request.destroy();
    const isSent = this.#isSent;
    this.#listener.onFail({ message, isSent, isClosed: isClosed && isSent });
  }

  #settle(): void {
    this.#isSettled = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#connectTimer);
    this.#cancellation?.removeListener(this.#onCancel);
  }
}

/** A request with an invalid port, path or header; fails as not sent. */
class InvalidExchange implements Exchange {
  #isCancelled = false;

  constructor(message: string, listener: ExchangeListener) {
    queueMicrotask(() => {
      if (this.#isCancelled) return;
      listener.onFail({ message, isSent: false, isClosed: false });
    });
  }

  cancel(): void {
    this.#isCancelled = true;
  }
}

function createHeaders(
  options: httpRequests.HttpRequest,
): Readonly<Record<string, string>> {
  const size = options.body === undefined
    ? undefined
    : Buffer.byteLength(options.body);
  if (size === undefined) return { ...options.headers };
  return { ...options.headers, "content-length": String(size) };
}

/**
 * Sends a request and streams its response to a listener.
 *
 * @param options The request.
 * @param listener Receives the events of the response.
 * @returns A handle to abort the request.
 */
export function openExchange(
  options: httpRequests.HttpRequest,
  listener: ExchangeListener,
): Exchange {
  try {
    return new PendingExchange(options, listener);
  } catch (error) {
    return new InvalidExchange((error as Error).message, listener);
  }
}
