import * as zlib from "node:zlib";

/*
 * Format of a record, in big-endian order: magic (u32), payload length in bytes
 * (u32), CRC-32 of the payload (u32), payload. The magic lets a reader find valid
 * records after invalid bytes, which distinguishes corruption from a torn tail.
 */
const MAGIC = 0x48_53_4c_31;
const HEADER_BYTES = 12;

/** A record decoded from a file. */
export interface DecodedRecord {
  readonly payload: Buffer;
  /** Offset of the first byte after the record. */
  readonly end: number;
}

/**
 * Encodes a record.
 *
 * @param payload The payload.
 * @returns The encoded record.
 */
export function encodeRecord(payload: Buffer): Buffer {
  return encodeRecordOf([payload]);
}

/**
 * Encodes a record of a payload in parts.
 *
 * @param parts The parts of the payload, in order; they are joined only once.
 * @returns The encoded record.
 */
export function encodeRecordOf(parts: readonly Buffer[]): Buffer {
  const length = parts.reduce((total, part) => total + part.length, 0);
  const checksum = parts.reduce((sum, part) => zlib.crc32(part, sum), 0);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(MAGIC, 0);
  header.writeUInt32BE(length, 4);
  header.writeUInt32BE(checksum, 8);
  return Buffer.concat([header, ...parts]);
}

/**
 * Returns the size of the record that begins the bytes.
 *
 * @param bytes The bytes, which may end before the record does.
 * @returns Its size in bytes; 0 if no header of a record begins them.
 */
export function getRecordBytes(bytes: Buffer): number {
  if (bytes.length < HEADER_BYTES || bytes.readUInt32BE(0) !== MAGIC) return 0;
  return HEADER_BYTES + bytes.readUInt32BE(4);
}

/**
 * Decodes the record at an offset.
 *
 * @param bytes The content of the file.
 * @param offset Offset of the record, in bytes.
 * @returns The record, or undefined if it is incomplete or invalid.
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
 * Reports whether a valid record begins at or after an offset.
 *
 * @param bytes The content of the file.
 * @param offset Where to begin the search, in bytes.
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
