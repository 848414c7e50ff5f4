import type * as net from "node:net";
import * as limitLingers from "./_limit_linger.ts";

/** An error of Node's parser or of its timeouts. */
export type ClientError = Error & { readonly code?: string };

/**
 * Answers what is no request, or is not whole in time, and closes its connection. A
 * connection that has sent nothing, or whose request is in progress, gets no answer, as
 * it would be taken for that of a request.
 *
 * @param error What is wrong.
 * @param socket The connection.
 * @param isBusy Whether a request of it is in progress.
 */
export function respondClientError(
  error: ClientError,
  socket: net.Socket,
  isBusy: boolean,
): void {
  if (isBusy || !socket.writable || socket.bytesRead === 0) {
    return void socket.destroy();
  }
  socket.end(
    `HTTP/1.1 ${getStatusLine(error)}\r\nConnection: close\r\n\r\n`,
  );
  limitLingers.limitLinger(socket);
}

function getStatusLine({ code }: ClientError): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return "413 Payload Too Large";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}
