import * as jsonParts from "../json_parts/mod.ts";
import * as records from "./record.ts";

/** Minimum size of a chunk unless it is the last one, in bytes. */
const CHUNK_BYTES = 512 * 1024;
/** Size of the encoded records after which a batch ends, in bytes. */
const BATCH_BYTES = 4 * 1024 * 1024;
/** JSON syntax of the array that holds a batch. */
const ARRAY_START = Buffer.from("[");
const ARRAY_SEPARATOR = Buffer.from(",");
const ARRAY_END = Buffer.from("]");

function encodeValue(value: unknown): Buffer {
  return records.encodeRecord(jsonParts.encodeJson(value));
}

/**
 * Encodes values in batches of bounded size, each as one record with one
 * checksum. Encoding all values at once could exhaust the heap.
 */
export function* encodeBatches(values: readonly unknown[]): Generator<Buffer> {
  let buffers: Buffer[] = [];
  let size = 0;
  for (const value of values) {
    const bytes = jsonParts.encodeJson(value);
    buffers.push(buffers.length === 0 ? ARRAY_START : ARRAY_SEPARATOR, bytes);
    size += bytes.length;
    if (size < BATCH_BYTES) continue;
    yield records.encodeRecordOf([...buffers, ARRAY_END]);
    buffers = [];
    size = 0;
  }
  if (size === 0) return;
  yield records.encodeRecordOf([...buffers, ARRAY_END]);
}

/** Encodes each value as a record and joins the records into larger chunks. */
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
