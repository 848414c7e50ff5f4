import type * as net from "node:net";

const NO_BYTES = Buffer.alloc(0);

/**
 * Tells whether a connection was reset. Where data and a reset arrive together, Node
 * reports the data and an orderly end.
 *
 * A write fails at once after a reset, and succeeds after an orderly end of the other
 * side; one of no bytes sends nothing. To be called before this side ends its own
 * sending, with nothing left to write.
 *
 * @param socket The connection, whose reading side has just ended.
 * @returns Whether it was reset; the error is emitted on the socket, too.
 */
export function probeReset(socket: net.Socket): boolean {
  socket.write(NO_BYTES);
  return socket.errored !== null;
}
