import type * as net from "node:net";
import * as zlib from "node:zlib";
import * as sharedText from "./_shared_text.ts";

/** Longest message between boxes, in bytes, before it is decompressed. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Method that every box answers, so that a silent connection is found. */
export const PING_METHOD = "rpc.ping";

/*
 * A frame: length of the payload u32, format u8, payload. The payload is one
 * JSON text, compressed unless it is long, to save bytes between failure domains.
 */
const HEADER_BYTES = 5;
const PLAIN_FORMAT = 0;
const DEFLATED_FORMAT = 1;
/** Deflated after `SHARED_TEXT`, which the receiver has as well. */
const SHORT_FORMAT = 2;
/**
 * Texts shorter than this are compressed against the shared text: a refresh of
 * 273 bytes takes 48 then, an empty append of 232 takes 40, at some 30 us to
 * write and 15 us to read. They made 14 of the 67 MB that 28 boxes sent across
 * failure domains in 50 s.
 */
const MIN_DEFLATED_BYTES = 1_024;
/** A short text fits into the smallest window beside the shared text. */
const SHORT_OPTIONS: zlib.ZlibOptions = {
  dictionary: sharedText.SHARED_TEXT,
  windowBits: 12,
  memLevel: 5,
};
/**
 * Longer texts are sent as they are too: the fastest compression takes 29 ms a
 * megabyte (measured on texts of samples) and saves a quarter. A submission is
 * compressed, while the log for a replica that lost its disk would hold the
 * event loop up for over a second.
 */
const MAX_DEFLATED_BYTES = 512 * 1_024;
const DEFLATE_LEVEL = 1;

/**
 * Splits a byte stream into messages.
 *
 * @param socket The stream.
 * @param onMessage Receives each message, parsed.
 */
export function readMessages(
  socket: net.Socket,
  onMessage: (message: unknown) => void,
): void {
  let chunks: Buffer[] = [];
  let size = 0;
  let wanted = HEADER_BYTES;
  socket.on("data", (chunk: Buffer) => {
    chunks.push(chunk);
    size += chunk.length;
    if (size < wanted) return;
    const read = readFrames(Buffer.concat(chunks, size), onMessage);
    if (read === undefined) return void socket.destroy();
    chunks = [read.rest];
    size = read.rest.length;
    wanted = read.wanted;
  });
}

interface ReadFrames {
  /** Bytes of a frame that is not whole yet. */
  readonly rest: Buffer;
  /** Bytes that the frame needs to be whole. */
  readonly wanted: number;
}

/** Reads the whole frames; undefined when the bytes are no frames. */
function readFrames(
  bytes: Buffer,
  onMessage: (message: unknown) => void,
): ReadFrames | undefined {
  let offset = 0;
  while (bytes.length - offset >= HEADER_BYTES) {
    const length = bytes.readUInt32BE(offset);
    if (length > MAX_MESSAGE_BYTES) return undefined;
    const end = offset + HEADER_BYTES + length;
    if (end > bytes.length) {
      return { rest: bytes.subarray(offset), wanted: end - offset };
    }
    const format = bytes.readUInt8(offset + HEADER_BYTES - 1);
    const payload = bytes.subarray(offset + HEADER_BYTES, end);
    if (!readPayload(format, payload, onMessage)) return undefined;
    offset = end;
  }
  return { rest: bytes.subarray(offset), wanted: HEADER_BYTES };
}

function readPayload(
  format: number,
  payload: Buffer,
  onMessage: (message: unknown) => void,
): boolean {
  try {
    onMessage(JSON.parse(decodeText(format, payload).toString("utf8")));
    return true;
  } catch {
    return false;
  }
}

function decodeText(format: number, payload: Buffer): Buffer {
  switch (format) {
    case DEFLATED_FORMAT:
      return zlib.inflateRawSync(payload, {
        maxOutputLength: MAX_MESSAGE_BYTES,
      });
    case SHORT_FORMAT:
      return zlib.inflateRawSync(payload, {
        ...SHORT_OPTIONS,
        maxOutputLength: MIN_DEFLATED_BYTES,
      });
    default:
      return payload;
  }
}

/**
 * Frames of notifications by their parameters. A notification is often told to
 * many boxes at once; it is encoded and compressed for the first one only.
 */
const sharedFrames = new WeakMap<object, Buffer>();

/** Parameters of notifications that are sent as they are. */
const plainParams = new WeakSet<object>();

/**
 * Has a notification sent uncompressed: for bulk, where the sender's time is
 * dearer than the quarter of the bytes that compression saves.
 *
 * @param params Its parameters.
 */
export function markPlain(params: object): void {
  plainParams.add(params);
}

/** A JSON-RPC message, as far as it is read here. */
interface Envelope {
  readonly id?: unknown;
  readonly method?: string;
  readonly params?: unknown;
}

/** Gives the parameters of a notification; undefined for other messages. */
function getNotified(message: Envelope): object | undefined {
  const { id, method, params } = message;
  if (id !== undefined || method === undefined) return undefined;
  return typeof params === "object" && params !== null ? params : undefined;
}

/**
 * Encodes one message as a frame. The parameters of a notification must not
 * change afterwards, nor be told under another method.
 *
 * @param message The message.
 * @returns The bytes to send.
 */
export function encodeFrame(message: unknown): Buffer {
  const notified = getNotified(message as Envelope);
  if (notified === undefined) return createFrame(message);
  const known = sharedFrames.get(notified);
  if (known !== undefined) return known;
  const frame = createFrame(message);
  sharedFrames.set(notified, frame);
  return frame;
}

function createFrame(message: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(message));
  const notified = getNotified(message as Envelope);
  const isPlain = notified !== undefined && plainParams.has(notified);
  const { format, payload } = isPlain
    ? { format: PLAIN_FORMAT, payload: text }
    : encodeText(text);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt8(format, HEADER_BYTES - 1);
  return Buffer.concat([header, payload]);
}

/** A text as a frame carries it. */
interface EncodedText {
  readonly format: number;
  readonly payload: Buffer;
}

function encodeText(text: Buffer): EncodedText {
  if (text.length < MIN_DEFLATED_BYTES) {
    const payload = zlib.deflateRawSync(text, SHORT_OPTIONS);
    return { format: SHORT_FORMAT, payload };
  }
  if (text.length > MAX_DEFLATED_BYTES) {
    return { format: PLAIN_FORMAT, payload: text };
  }
  const payload = zlib.deflateRawSync(text, { level: DEFLATE_LEVEL });
  return { format: DEFLATED_FORMAT, payload };
}

/** Writes one message as a frame. */
export function writeMessage(socket: net.Socket, message: unknown): void {
  if (socket.destroyed || !socket.writable) return;
  socket.write(encodeFrame(message));
}
