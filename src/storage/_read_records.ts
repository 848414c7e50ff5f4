import * as fs from "node:fs";
import * as records from "./record.ts";

/** Bytes read from a file at a time, so that no file is held whole. */
const CHUNK_BYTES = 1024 * 1024;

/** Where reading a file of records ended. */
export interface ReadSummary {
  /** Bytes that are whole records. */
  readonly validBytes: number;
  /** Bytes after them. */
  readonly trailingBytes: number;
  /** Whether whole records stand after damaged bytes. */
  readonly isCorrupt: boolean;
}

/**
 * Reads a file of records one by one.
 *
 * @param filePath The file.
 * @param onPayload Receives the payload of each whole record, in order.
 * @returns Where the whole records end.
 */
export function readRecords(
  filePath: string,
  onPayload: (payload: Buffer) => void,
): ReadSummary {
  const descriptor = fs.openSync(filePath, "r");
  try {
    return readAllRecords(descriptor, onPayload);
  } finally {
    fs.closeSync(descriptor);
  }
}

function readAllRecords(
  descriptor: number,
  onPayload: (payload: Buffer) => void,
): ReadSummary {
  let trailing: Buffer = Buffer.alloc(0);
  let validBytes = 0;
  for (;;) {
    const chunk = readChunk(descriptor);
    if (chunk.length === 0) {
      const isCorrupt = records.hasRecordFrom(trailing, 0);
      return {
        validBytes: validBytes,
        trailingBytes: trailing.length,
        isCorrupt: isCorrupt,
      };
    }
    const bytes = Buffer.concat([trailing, chunk]);
    let offset = 0;
    for (;;) {
      const record = records.decodeRecord(bytes, offset);
      if (record === undefined) break;
      onPayload(record.payload);
      offset = record.end;
    }
    validBytes += offset;
    trailing = bytes.subarray(offset);
  }
}

function readChunk(descriptor: number): Buffer {
  const chunk = Buffer.allocUnsafe(CHUNK_BYTES);
  const length = fs.readSync(descriptor, chunk, 0, CHUNK_BYTES, null);
  return chunk.subarray(0, length);
}
