import type * as net from "node:net";

/** Time for which a connection lingers after its last answer, in ms. */
const LINGER_MS = 1_000;

/**
 * Closes a connection after the time in which its caller can read the last answer.
 *
 * @param socket The connection.
 * @returns The timer, which keeps no process alive.
 */
export function limitLinger(socket: net.Socket): NodeJS.Timeout {
  return setTimeout(() => socket.destroy(), LINGER_MS).unref();
}
