import * as http from "node:http";
import type * as stream from "node:stream";
import * as clocks from "../clock/mod.ts";

const MAX_FREE_SOCKETS = 32;
/** Idle timeout in ms; a shorter `keep-alive` hint of a server is obeyed. */
const FREE_SOCKET_TIMEOUT_MS = 30_000;
/** Most requests on one connection; bounds the ids that are kept for it. */
const MAX_REQUESTS_PER_CONNECTION = 128;
/**
 * Time for which a connection carries reads, in ms. A surplus answer to an earlier
 * read can't be told from the answer to a later one, so this bounds its age.
 */
const READ_CONNECTION_MS = 1_000;

function closeOnData(this: stream.Duplex): void {
  this.destroy();
}

/** The exchange on a connection tells of its failure; what comes later is lost. */
function discardError(): void {}

/**
 * Makes connections whose errors end no process, also while no request has them: the
 * rest of a request may fail after its answer is complete.
 */
class SafeAgent extends http.Agent {
  override createConnection(
    ...parameters: Parameters<http.Agent["createConnection"]>
  ): ReturnType<http.Agent["createConnection"]> {
    const socket = super.createConnection(...parameters);
    return socket?.on("error", discardError);
  }
}

/**
 * Closes a pooled connection on which something arrives while no request waits: a
 * surplus answer, which the next request on it would get for its own.
 */
abstract class CheckedAgent extends SafeAgent {
  override keepSocketAlive(socket: stream.Duplex): void {
    if (!this.canKeep(socket)) return refuseToKeep();
    // The type declaration lacks the result: whether to keep the socket.
    const isKept = super.keepSocketAlive(socket) as unknown;
    if (isKept === true) socket.on("data", closeOnData);
    return isKept as undefined;
  }

  override reuseSocket(
    socket: stream.Duplex,
    request: http.ClientRequest,
  ): void {
    socket.off("data", closeOnData);
    super.reuseSocket(socket, request);
  }

  /** Whether a connection may carry another request. */
  protected abstract canKeep(socket: stream.Duplex): boolean;
}

/** Result of `keepSocketAlive`, declared as void, for a socket not to be kept. */
function refuseToKeep(): undefined {
  return false as unknown as undefined;
}

/** Pool for requests with an id, of which a connection carries each once. */
class RequestAgent extends CheckedAgent {
  /** Ids of the requests that were sent on each connection. */
  readonly #sentIds = new WeakMap<stream.Duplex, Set<string>>();

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      timeout: FREE_SOCKET_TIMEOUT_MS,
      scheduling: "lifo",
    });
  }

  /**
   * Whether the connection that the next request to an address would get, the one
   * used last, has not carried its id yet.
   */
  canSend(host: string, port: number, requestId: string): boolean {
    const socket = this.freeSockets[this.getName({ host, port })]?.at(-1);
    if (socket === undefined) return true;
    return this.#sentIds.get(socket)?.has(requestId) !== true;
  }

  recordSend(socket: stream.Duplex, requestId: string): void {
    const ids = this.#sentIds.get(socket) ?? new Set();
    this.#sentIds.set(socket, ids.add(requestId));
  }

  protected override canKeep(socket: stream.Duplex): boolean {
    const count = this.#sentIds.get(socket)?.size ?? 0;
    return count < MAX_REQUESTS_PER_CONNECTION;
  }
}

/** Pool of short-lived connections for reads, which have no id. */
export class ReadAgent extends CheckedAgent {
  readonly #clock: clocks.Clock;
  /** When each connection was first used, in monotonic ms. */
  readonly #firstUsedAtMs = new WeakMap<stream.Duplex, number>();

  constructor(clock: clocks.Clock) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      timeout: READ_CONNECTION_MS,
    });
    this.#clock = clock;
  }

  recordSend(socket: stream.Duplex): void {
    if (this.#firstUsedAtMs.has(socket)) return;
    this.#firstUsedAtMs.set(socket, this.#clock.getMonotonicMs());
  }

  protected override canKeep(socket: stream.Duplex): boolean {
    const nowMs = this.#clock.getMonotonicMs();
    const firstUsedAtMs = this.#firstUsedAtMs.get(socket) ?? nowMs;
    return nowMs - firstUsedAtMs < READ_CONNECTION_MS;
  }
}

/** Makes a connection for each request, and keeps none. */
const FRESH_AGENT = new SafeAgent();
const REQUEST_AGENT = new RequestAgent();
const READ_AGENT = new ReadAgent(new clocks.SystemClock());

/** What decides on which connection a request is sent. */
export interface ConnectionDemand {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly requestId?: string;
  readonly isFreshConnection?: boolean;
}

/**
 * Chooses the pool for a request, so that no surplus answer can pass for the answer
 * to a later request: a connection carries each id once. Of requests without an id
 * only reads share connections, for a short time.
 *
 * @param demand The request.
 * @returns The pool, or the agent of new connections that are not kept.
 */
export function chooseAgent(demand: ConnectionDemand): http.Agent {
  const { address, port, method, requestId, isFreshConnection } = demand;
  if (isFreshConnection === true) return FRESH_AGENT;
  if (requestId === undefined) {
    return method === "GET" ? READ_AGENT : FRESH_AGENT;
  }
  return REQUEST_AGENT.canSend(address, port, requestId)
    ? REQUEST_AGENT
    : FRESH_AGENT;
}

/**
 * Records that a request is sent on a connection.
 *
 * @param socket The connection.
 * @param requestId Id of the request, if it has one.
 */
export function recordSend(
  socket: stream.Duplex,
  requestId: string | undefined,
): void {
  if (requestId === undefined) READ_AGENT.recordSend(socket);
  else REQUEST_AGENT.recordSend(socket, requestId);
}

/**
 * Closes the idle pooled connections to an address. After a server crashed
 * without closing them they still look open, and a request sent over one is lost.
 *
 * @param host IP address.
 * @param port Port.
 */
export function closeIdleConnections(host: string, port: number): void {
  for (const agent of [REQUEST_AGENT, READ_AGENT]) {
    const name = agent.getName({ host, port });
    for (const socket of agent.freeSockets[name] ?? []) socket.destroy();
  }
}

/** Largest response body by default, in bytes. */
export const DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Timeout to connect by default, in ms. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
