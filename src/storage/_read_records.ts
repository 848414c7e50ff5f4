import * as fs from "node:fs";
import * as records from "./record.ts";

/** Bytes read from a file at a time, so that no file is held whole. */
const CHUNK_BYTES = 1024 * 1024;

/** Where reading a file of records ended. */
export interface ReadEnd {
  /** Bytes that are whole records. */
  readonly wholeBytes: number;
  /** Bytes after them. */
  readonly restBytes: number;
  /** Whether whole records stand after damaged bytes. */
  readonly isDamaged: boolean;
}

/**
 * Reads a file of records one by one.
 *
 * @param name The file.
 * @param onPayload Receives the payload of each whole record, in order.
 * @returns Where the whole records end.
 */
export function readRecords(
  name: string,
  onPayload: (payload: Buffer) => void,
): ReadEnd {
  const descriptor = fs.openSync(name, "r");
  try {
    return readFrom(descriptor, onPayload);
  } finally {
    fs.closeSync(descriptor);
  }
}

function readFrom(
  descriptor: number,
  onPayload: (payload: Buffer) => void,
): ReadEnd {
  let rest: Buffer = Buffer.alloc(0);
  let wholeBytes = 0;
  for (;;) {
    const chunk = readChunk(descriptor);
    if (chunk.length === 0) {
      const isDamaged = records.hasRecordAfter(rest, 0);
      return { wholeBytes, restBytes: rest.length, isDamaged };
    }
    const bytes = Buffer.concat([rest, chunk]);
    let offset = 0;
    for (;;) {
      const record = records.decodeRecord(bytes, offset);
      if (record === undefined) break;
      onPayload(record.payload);
      offset = record.end;
    }
    wholeBytes += offset;
    rest = bytes.subarray(offset);
  }
}

function readChunk(descriptor: number): Buffer {
  const chunk = Buffer.allocUnsafe(CHUNK_BYTES);
  const length = fs.readSync(descriptor, chunk, 0, CHUNK_BYTES, null);
  return chunk.subarray(0, length);
}
