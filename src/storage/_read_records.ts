import * as fs from "node:fs";
import * as records from "./record.ts";

/** Number of bytes read from a file at a time, unless a record is longer. */
const CHUNK_BYTES = 1024 * 1024;

/** Result of reading a file of records. */
export interface ReadSummary {
  /** Length of the leading valid records, in bytes. */
  readonly validBytes: number;
  /** Number of bytes after them. */
  readonly trailingBytes: number;
  /** Whether a valid record follows invalid bytes. */
  readonly isCorrupt: boolean;
}

/**
 * Reads a file of records without loading the whole file.
 *
 * @param filePath The file.
 * @param onPayload Receives the payload of each leading valid record, in order.
 * @returns Where the leading valid records end.
 * @throws The error of the file system.
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
    const neededBytes = records.getRecordBytes(trailing) - trailing.length;
    const chunk = readChunk(descriptor, Math.max(neededBytes, CHUNK_BYTES));
    if (chunk.length === 0) {
      const isCorrupt = records.hasRecordFrom(trailing, 0);
      return {
        validBytes,
        trailingBytes: trailing.length,
        isCorrupt,
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

function readChunk(descriptor: number, size: number): Buffer {
  const { size: fileBytes } = fs.fstatSync(descriptor);
  const chunk = Buffer.allocUnsafe(Math.min(size, fileBytes));
  const length = fs.readSync(descriptor, chunk, 0, chunk.length, null);
  return chunk.subarray(0, length);
}
