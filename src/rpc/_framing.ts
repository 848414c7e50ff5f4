import type * as net from "node:net";
import * as zlib from "node:zlib";
import * as compressionDictionary from "./_compression_dictionary.ts";

/** Longest message between boxes, in bytes, before it is decompressed. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Method that every box answers, so that a silent connection is found. */
export const PING_METHOD = "rpc.ping";

/*
 * A frame: length of the payload u32, format u8, payload. The payload is one
 * JSON text, compressed unless it is long, to save bytes between failure domains.
 */
const HEADER_BYTES = 5;
const UNCOMPRESSED_FORMAT = 0;
const DEFLATE_FORMAT = 1;
/** Deflated after `SHARED_TEXT`, which the receiver has as well. */
const DICTIONARY_FORMAT = 2;
/**
 * Texts shorter than this are compressed against the shared text: a refresh of
 * 273 bytes takes 48 then, an empty append of 232 takes 40, at some 30 us to
 * write and 15 us to read. They made 14 of the 67 MB that 28 boxes sent across
 * failure domains in 50 s.
 */
const MIN_DEFLATE_BYTES = 1_024;
/** A short text fits into the smallest window beside the shared text. */
const DICTIONARY_OPTIONS: zlib.ZlibOptions = {
  dictionary: compressionDictionary.COMPRESSION_DICTIONARY,
  windowBits: 12,
  memLevel: 5,
};
/**
 * Longer texts are sent as they are too: the fastest compression takes 29 ms a
 * megabyte (measured on texts of samples) and saves a quarter. A submission is
 * compressed, while the log for a replica that lost its disk would hold the
 * event loop up for over a second.
 */
const MAX_DEFLATE_BYTES = 512 * 1_024;
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
  let neededBytes = HEADER_BYTES;
  socket.on("data", (chunk: Buffer) => {
    chunks.push(chunk);
    size += chunk.length;
    if (size < neededBytes) return;
    const read = readFrames(Buffer.concat(chunks, size), onMessage);
    if (read === undefined) return void socket.destroy();
    chunks = [read.remainder];
    size = read.remainder.length;
    neededBytes = read.neededBytes;
  });
}

interface FrameReadResult {
  /** Bytes of a frame that is not whole yet. */
  readonly remainder: Buffer;
  /** Bytes that the frame needs to be whole. */
  readonly neededBytes: number;
}

/** Reads the whole frames; undefined when the bytes are no frames. */
function readFrames(
  bytes: Buffer,
  onMessage: (message: unknown) => void,
): FrameReadResult | undefined {
  let offset = 0;
  while (bytes.length - offset >= HEADER_BYTES) {
    const length = bytes.readUInt32BE(offset);
    if (length > MAX_MESSAGE_BYTES) return undefined;
    const end = offset + HEADER_BYTES + length;
    if (end > bytes.length) {
      return { remainder: bytes.subarray(offset), neededBytes: end - offset };
    }
    const format = bytes.readUInt8(offset + HEADER_BYTES - 1);
    const payload = bytes.subarray(offset + HEADER_BYTES, end);
    if (!deliverMessage(format, payload, onMessage)) return undefined;
    offset = end;
  }
  return { remainder: bytes.subarray(offset), neededBytes: HEADER_BYTES };
}

function deliverMessage(
  format: number,
  payload: Buffer,
  onMessage: (message: unknown) => void,
): boolean {
  try {
    onMessage(JSON.parse(decodePayload(format, payload).toString("utf8")));
    return true;
  } catch {
    return false;
  }
}

function decodePayload(format: number, payload: Buffer): Buffer {
  switch (format) {
    case DEFLATE_FORMAT:
      return zlib.inflateRawSync(payload, {
        maxOutputLength: MAX_MESSAGE_BYTES,
      });
    case DICTIONARY_FORMAT:
      return zlib.inflateRawSync(payload, {
        ...DICTIONARY_OPTIONS,
        maxOutputLength: MIN_DEFLATE_BYTES,
      });
    default:
      return payload;
  }
}

/**
 * Frames of notifications by their parameters. A notification is often told to
 * many boxes at once; it is encoded and compressed for the first one only.
 */
const cachedFrames = new WeakMap<object, Buffer>();

/** Parameters of notifications that are sent as they are. */
const uncompressedParams = new WeakSet<object>();

/**
 * Has a notification sent uncompressed: for bulk, where the sender's time is
 * dearer than the quarter of the bytes that compression saves.
 *
 * @param params Its parameters.
 */
export function disableCompression(params: object): void {
  uncompressedParams.add(params);
}

/** A JSON-RPC message, as far as it is read here. */
interface Envelope {
  readonly id?: unknown;
  readonly method?: string;
  readonly params?: unknown;
}

/** Gives the parameters of a notification; undefined for other messages. */
function getNotificationParams(message: Envelope): object | undefined {
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
  const params = getNotificationParams(message as Envelope);
  if (params === undefined) return createFrame(message);
  const cached = cachedFrames.get(params);
  if (cached !== undefined) return cached;
  const frame = createFrame(message);
  cachedFrames.set(params, frame);
  return frame;
}

function createFrame(message: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(message));
  const params = getNotificationParams(message as Envelope);
  const isUncompressed = params !== undefined && uncompressedParams.has(params);
  const { format, payload } = isUncompressed
    ? { format: UNCOMPRESSED_FORMAT, payload: text }
    : encodePayload(text);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt8(format, HEADER_BYTES - 1);
  return Buffer.concat([header, payload]);
}

/** A text as a frame carries it. */
interface EncodedPayload {
  readonly format: number;
  readonly payload: Buffer;
}

function encodePayload(text: Buffer): EncodedPayload {
  if (text.length < MIN_DEFLATE_BYTES) {
    const payload = zlib.deflateRawSync(text, DICTIONARY_OPTIONS);
    return { format: DICTIONARY_FORMAT, payload };
  }
  if (text.length > MAX_DEFLATE_BYTES) {
    return { format: UNCOMPRESSED_FORMAT, payload: text };
  }
  const payload = zlib.deflateRawSync(text, { level: DEFLATE_LEVEL });
  return { format: DEFLATE_FORMAT, payload };
}

/** Writes one message as a frame. */
export function writeMessage(socket: net.Socket, message: unknown): void {
  if (socket.destroyed || !socket.writable) return;
  socket.write(encodeFrame(message));
}
