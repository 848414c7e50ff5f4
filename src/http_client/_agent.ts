import * as http from "node:http";

const MAX_FREE_SOCKETS = 32;
/** Idle timeout in ms; a shorter `keep-alive` hint of a server is obeyed. */
const FREE_SOCKET_TIMEOUT_MS = 30_000;

/** Pool of keep-alive connections shared by all requests. */
export const SHARED_AGENT = new http.Agent({
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
