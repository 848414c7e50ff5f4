import type * as net from "node:net";
import * as zlib from "node:zlib";
import * as heldBytes from "../held_bytes/mod.ts";
import * as jsonParts from "../json_parts/mod.ts";
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
export const HEADER_BYTES = 5;
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

/** The next frame of received bytes. */
export type FrameReadResult =
  /** Reading can continue once there are so many bytes. */
  | { readonly kind: "partial"; readonly neededBytes: number }
  | { readonly kind: "invalid" }
  | {
    readonly kind: "whole";
    readonly message: unknown;
    /** Size of the whole frame, in bytes. */
    readonly frameBytes: number;
  };

/** Reads the frame at the start of received bytes and decodes its message. */
export function readFrame(bytes: Buffer): FrameReadResult {
  if (bytes.length < HEADER_BYTES) {
    return { kind: "partial", neededBytes: HEADER_BYTES };
  }
  const length = bytes.readUInt32BE(0);
  if (length > MAX_MESSAGE_BYTES) return { kind: "invalid" };
  const frameBytes = HEADER_BYTES + length;
  if (bytes.length < frameBytes) {
    return { kind: "partial", neededBytes: frameBytes };
  }
  const format = bytes.readUInt8(HEADER_BYTES - 1);
  const payload = bytes.subarray(HEADER_BYTES, frameBytes);
  try {
    const text = decodePayload(format, payload).toString("utf8");
    return { kind: "whole", message: JSON.parse(text), frameBytes };
  } catch {
    return { kind: "invalid" };
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

/** Parameters of messages that are encoded in parts. */
const largeParams = new WeakSet<object>();

/**
 * Marks a message to be encoded in parts, which takes less memory and more time.
 *
 * @param params The parameters object of the message.
 */
export function markLarge(params: object): void {
  largeParams.add(params);
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
  const { params: anyParams } = message as Envelope;
  if (largeParams.has(anyParams as object)) return createFrameInParts(message);
  const text = JSON.stringify(message);
  const params = getNotificationParams(message as Envelope);
  const isUncompressed = params !== undefined && uncompressedParams.has(params);
  if (isUncompressed || text.length > MAX_DEFLATE_BYTES) {
    return createUncompressedFrame(text);
  }
  const { format, payload } = encodePayload(Buffer.from(text));
  const header = Buffer.alloc(HEADER_BYTES);
  writeHeader(header, format, payload.length);
  return Buffer.concat([header, payload]);
}

/** Encodes a message that would take up too much memory as one string. */
function createFrameInParts(message: unknown): Buffer {
  const frame = jsonParts.encodeInParts(
    Buffer.alloc(HEADER_BYTES),
    message,
  );
  writeHeader(frame, UNCOMPRESSED_FORMAT, frame.length - HEADER_BYTES);
  return frame;
}

/** Encodes a text into its frame at once: a copy may be as large as a submission. */
function createUncompressedFrame(text: string): Buffer {
  const length = Buffer.byteLength(text);
  const frame = Buffer.allocUnsafeSlow(HEADER_BYTES + length);
  writeHeader(frame, UNCOMPRESSED_FORMAT, length);
  frame.write(text, HEADER_BYTES);
  void heldBytes.collectAfterMessage(length);
  return frame;
}

function writeHeader(target: Buffer, format: number, length: number): void {
  target.writeUInt32BE(length, 0);
  target.writeUInt8(format, HEADER_BYTES - 1);
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
