import * as zlib from "node:zlib";

/*
 * A record on disk: magic u32, length u32, CRC-32 u32 of the payload, payload.
 * The magic lets a reader tell a torn tail from damage in the middle.
 */
const MAGIC = 0x48_53_4c_31;
const HEADER_BYTES = 12;

/** A record found in a file. */
export interface DecodedRecord {
  readonly payload: Buffer;
  /** Offset after the record, in bytes. */
  readonly end: number;
}

/**
 * Encodes one record.
 *
 * @param payload Its content.
 * @returns Its bytes on disk.
 */
export function encodeRecord(payload: Buffer): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(MAGIC, 0);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(zlib.crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

/**
 * Reads the record at an offset.
 *
 * @param bytes The file.
 * @param offset Where the record begins, in bytes.
 * @returns The record, or undefined if there is no whole, undamaged one.
 */
export function decodeRecord(
  bytes: Buffer,
  offset: number,
): DecodedRecord | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  if (bytes.readUInt32BE(offset) !== MAGIC) return undefined;
  const length = bytes.readUInt32BE(offset + 4);
  const start = offset + HEADER_BYTES;
  if (start + length > bytes.length) return undefined;
  const payload = bytes.subarray(start, start + length);
  if (zlib.crc32(payload) !== bytes.readUInt32BE(offset + 8)) return undefined;
  return { payload, end: start + length };
}

/**
 * Looks for a whole record anywhere after an offset.
 *
 * @param bytes The file.
 * @param offset Where to begin, in bytes.
 * @returns Whether there is one.
 */
export function hasRecordFrom(bytes: Buffer, offset: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC, 0);
  let at = bytes.indexOf(magic, offset);
  while (at >= 0) {
    if (decodeRecord(bytes, at) !== undefined) return true;
    at = bytes.indexOf(magic, at + 1);
  }
  return false;
}
