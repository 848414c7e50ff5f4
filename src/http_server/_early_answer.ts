import type * as http from "node:http";
import * as limitLingers from "./_limit_linger.ts";

/** Most bytes of a body that are discarded after an answer to its request. */
const MAX_DISCARDED_BYTES = 256 * 1024;

/**
 * Prepares to answer a request whose body may not have arrived whole. If much of it is
 * still to come, the answer closes the connection, as RFC 9112, 9.6 has it: this side
 * closes first, and lingers so that the caller can read the answer. Anyhow only little
 * is read of the rest.
 *
 * @param request The request.
 * @param response Its response, before its head is written.
 */
export function prepareEarlyAnswer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (request.complete || !hasBody(request)) return;
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > MAX_DISCARDED_BYTES) {
    response.setHeader("connection", "close");
  }
  const { socket } = request;
  const destroySoon = socket.destroySoon;
  // A connection closed with unread bytes is reset, and its answer may be lost.
  socket.destroySoon = () => void socket.end();
  request.once("end", () => {
    socket.destroySoon = destroySoon;
  });
  discardRest(request);
}

function hasBody({ headers }: http.IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

/** Discards the rest of a body; closes the connection if it is long or late. */
function discardRest(request: http.IncomingMessage): void {
  const { socket } = request;
  let discardedBytes = 0;
  const timer = limitLingers.limitLinger(socket);
  // Once this side has closed, the timer also ends a connection that stays half open.
  request.once("end", () => {
    if (!socket.writableEnded) clearTimeout(timer);
  });
  request.on("data", (piece: Buffer) => {
    discardedBytes += piece.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) socket.destroy();
  });
}
