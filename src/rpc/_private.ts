import type * as net from "node:net";

/** Longest message between boxes, in bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

const NEWLINE = 0x0a;

/**
 * Splits a byte stream into messages, one JSON text a line.
 *
 * @param socket The stream.
 * @param onMessage Receives each message, parsed.
 */
export function readMessages(
  socket: net.Socket,
  onMessage: (message: unknown) => void,
): void {
  let parts: readonly Buffer[] = [];
  let size = 0;
  socket.on("data", (chunk: Buffer) => {
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(NEWLINE, start);
      if (end < 0) break;
      const text = Buffer.concat([...parts, chunk.subarray(start, end)]);
      parts = [];
      size = 0;
      start = end + 1;
      handleText(socket, text, onMessage);
    }
    parts = [...parts, chunk.subarray(start)];
    size += chunk.length - start;
    if (size > MAX_MESSAGE_BYTES) socket.destroy();
  });
}

function handleText(
  socket: net.Socket,
  text: Buffer,
  onMessage: (message: unknown) => void,
): void {
  try {
    onMessage(JSON.parse(text.toString("utf8")));
  } catch {
    socket.destroy();
  }
}

/** Writes one message as a line. */
export function writeMessage(socket: net.Socket, message: unknown): void {
  if (socket.destroyed || !socket.writable) return;
  socket.write(`${JSON.stringify(message)}\n`);
}
