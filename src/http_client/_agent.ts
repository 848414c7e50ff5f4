import * as http from "node:http";
import type * as stream from "node:stream";

const MAX_FREE_SOCKETS = 32;
/** Idle timeout in ms; a shorter `keep-alive` hint of a server is obeyed. */
const FREE_SOCKET_TIMEOUT_MS = 30_000;

function closeOnData(this: stream.Duplex): void {
  this.destroy();
}

/**
 * Closes a pooled connection on which something arrives while no request waits: a
 * surplus answer, which the next request on it would get for its own.
 */
class CheckedAgent extends http.Agent {
  override keepSocketAlive(socket: stream.Duplex): void {
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
}

/** Pool of keep-alive connections shared by all requests. */
export const SHARED_AGENT = new CheckedAgent({
  keepAlive: true,
  maxFreeSockets: MAX_FREE_SOCKETS,
  timeout: FREE_SOCKET_TIMEOUT_MS,
  scheduling: "lifo",
});

/**
 * Closes the idle pooled connections to an address. After a server crashed
 * without closing them they still look open, and a request sent over one is lost.
 *
 * @param host IP address.
 * @param port Port.
 */
export function closeIdleConnections(host: string, port: number): void {
  const name = SHARED_AGENT.getName({ host, port });
  for (const socket of SHARED_AGENT.freeSockets[name] ?? []) socket.destroy();
}

/** Largest response body by default, in bytes. */
export const DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Timeout to connect by default, in ms. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
