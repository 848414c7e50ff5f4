import type * as net from "node:net";
import * as zlib from "node:zlib";
import * as compressionDictionary from "./_compression_dictionary.ts";

/** Largest message in bytes, both as a payload and after decompression. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Method that every box answers, to detect silent connections. */
export const PING_METHOD = "rpc.ping";

/*
 * A frame is the payload length (u32, big-endian), the format (u8) and the
 * payload. The payload is one JSON text, compressed unless it is long, to reduce
 * the traffic between failure domains.
 */
const HEADER_BYTES = 5;
const UNCOMPRESSED_FORMAT = 0;
const DEFLATE_FORMAT = 1;
/** DEFLATE with `COMPRESSION_DICTIONARY` as the preset dictionary. */
const DICTIONARY_FORMAT = 2;
/**
 * Shorter texts, in bytes, are compressed with the dictionary. It takes some 30 microseconds
 * to write and 15 to read one, and leaves a fifth of a refresh.
 */
const MIN_DEFLATE_BYTES = 1_024;
/** The window holds the dictionary and a short text. */
const DICTIONARY_OPTIONS: zlib.ZlibOptions = {
  dictionary: compressionDictionary.COMPRESSION_DICTIONARY,
  windowBits: 12,
  memLevel: 5,
};
/**
 * Longer texts, in bytes, are sent uncompressed, because compressing them would
 * block the event loop too long: 29 ms a megabyte, to save a quarter. The log for a
 * replica that lost its disk would take over a second.
 */
const MAX_DEFLATE_BYTES = 512 * 1_024;
const DEFLATE_LEVEL = 1;

/**
 * Reads messages from a socket, and destroys it on an invalid frame.
 *
 * @param socket The socket.
 * @param onMessage Called with each parsed message.
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
  /** Bytes of an incomplete frame. */
  readonly remainder: Buffer;
  /** Size that `remainder` must reach before reading can continue. */
  readonly neededBytes: number;
}

/** Reads all complete frames; undefined if a frame is invalid. */
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

/** Decodes a payload for `onMessage`; false if either throws. */
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
 * Encoded notifications by their parameters. A notification that is sent to many
 * boxes is encoded and compressed only once.
 */
const cachedFrames = new WeakMap<object, Buffer>();

/** Parameters of notifications that are sent uncompressed. */
const uncompressedParams = new WeakSet<object>();

/**
 * Marks a notification to be sent uncompressed. For bulk data, where the CPU time
 * of the sender matters more than the saved traffic.
 *
 * @param params The parameters object of the notification.
 */
export function disableCompression(params: object): void {
  uncompressedParams.add(params);
}

/** The fields of a JSON-RPC message that identify a notification. */
interface Envelope {
  readonly id?: unknown;
  readonly method?: string;
  readonly params?: unknown;
}

/** Returns the parameters of a notification; undefined for other messages. */
function getNotificationParams(message: Envelope): object | undefined {
  const { id, method, params } = message;
  if (id !== undefined || method === undefined) return undefined;
  return typeof params === "object" && params !== null ? params : undefined;
}

/**
 * Encodes one message as a frame. The frame of a notification is cached by its
 * parameters object, which must not be changed or reused for another method.
 *
 * @param message The message.
 * @returns The frame.
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

/** The payload of a frame and its format. */
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

/** Writes one message as a frame, unless the socket is closed. */
export function writeMessage(socket: net.Socket, message: unknown): void {
  if (socket.destroyed || !socket.writable) return;
  socket.write(encodeFrame(message));
}
