import * as http from "node:http";

const MAX_FREE_SOCKETS = 32;
/** Servers that close earlier say so in their answers, which is followed. */
const FREE_SOCKET_TIMEOUT_MS = 30_000;

/** Connections that are kept between requests. */
export const SHARED_AGENT = new http.Agent({
  keepAlive: true,
  maxFreeSockets: MAX_FREE_SOCKETS,
  timeout: FREE_SOCKET_TIMEOUT_MS,
  scheduling: "lifo",
});

/**
 * Closes the connections to an address that nothing uses just now. After a
 * crash without a word they look open, and a request over one is lost.
 *
 * @param host IP address.
 * @param port Port.
 */
export function closeIdleConnections(host: string, port: number): void {
  const name = SHARED_AGENT.getName({ host, port });
  for (const socket of SHARED_AGENT.freeSockets[name] ?? []) socket.destroy();
}

/** Largest answer unless a request says otherwise, in bytes. */
export const DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Time to connect unless a request says otherwise, in ms. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
