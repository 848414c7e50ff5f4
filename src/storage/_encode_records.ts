import * as records from "./record.ts";

/** Bytes of a snapshot that are written at a time. */
const CHUNK_BYTES = 512 * 1024;
/** Bytes of records after which a write is synced before the next begins. */
const BATCH_BYTES = 4 * 1024 * 1024;
/** What stands around the records of one write, as JSON. */
const ARRAY_START = Buffer.from("[");
const ARRAY_SEPARATOR = Buffer.from(",");
const ARRAY_END = Buffer.from("]");

function encodeValue(value: unknown): Buffer {
  return records.encodeRecord(Buffer.from(JSON.stringify(value)));
}

/**
 * Encodes records for writes of bounded size, one checksum each. As one text, 156
 * records of 98 KB took a process of 140 MB of heap out of memory.
 */
export function* encodeBatches(values: readonly unknown[]): Generator<Buffer> {
  let buffers: Buffer[] = [];
  let size = 0;
  for (const value of values) {
    const bytes = Buffer.from(JSON.stringify(value));
    buffers.push(buffers.length === 0 ? ARRAY_START : ARRAY_SEPARATOR, bytes);
    size += bytes.length;
    if (size < BATCH_BYTES) continue;
    yield records.encodeRecord(Buffer.concat([...buffers, ARRAY_END]));
    buffers = [];
    size = 0;
  }
  if (size === 0) return;
  yield records.encodeRecord(Buffer.concat([...buffers, ARRAY_END]));
}

/** Encodes values and gathers them, so that few writes are needed. */
export function* encodeChunks(values: readonly unknown[]): Generator<Buffer> {
  let buffers: Buffer[] = [];
  let size = 0;
  for (const value of values) {
    const bytes = encodeValue(value);
    buffers.push(bytes);
    size += bytes.length;
    if (size < CHUNK_BYTES) continue;
    yield Buffer.concat(buffers);
    buffers = [];
    size = 0;
  }
  if (size > 0) yield Buffer.concat(buffers);
}
