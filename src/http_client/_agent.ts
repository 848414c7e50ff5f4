import * as http from "node:http";

const MAX_FREE_SOCKETS = 32;
/** Servers that close earlier say so in their answers, which is followed. */
const FREE_SOCKET_MS = 30_000;

/** Connections that are kept between requests. */
export const SHARED_AGENT = new http.Agent({
  keepAlive: true,
  maxFreeSockets: MAX_FREE_SOCKETS,
  timeout: FREE_SOCKET_MS,
  scheduling: "lifo",
});

/** Largest answer unless a request says otherwise, in bytes. */
export const DEFAULT_ANSWER_BYTES = 16 * 1024 * 1024;

/** Time to connect unless a request says otherwise, in ms. */
export const DEFAULT_CONNECT_MS = 1_000;

/**
 * Tells whether a connection to a server is open and unused.
 *
 * @param address IP address of the server.
 * @param port Its port.
 * @returns Whether the next request needs no new connection.
 */
export function hasIdleConnection(address: string, port: number): boolean {
  const name = SHARED_AGENT.getName({ host: address, port });
  return (SHARED_AGENT.freeSockets[name]?.length ?? 0) > 0;
}
