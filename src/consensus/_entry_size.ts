import type * as replicaLogs from "./replica_log.ts";

/** Approximate bytes of a number, or of the quotes and separators of a value. */
const VALUE_OVERHEAD_BYTES = 8;

/** Estimated sizes by command; commands in a log are immutable. */
const sizeCache = new WeakMap<object, number>();

/**
 * Estimates the encoded size of an entry. Encoding it just to measure it would
 * cost as much as sending it.
 *
 * @param entry The entry.
 * @returns The approximate size, in bytes.
 */
export function estimateBytes(entry: replicaLogs.Entry): number {
  const { command } = entry;
  if (typeof command !== "object" || command === null) {
    return estimateValueBytes(command);
  }
  const size = sizeCache.get(command) ?? estimateValueBytes(command);
  sizeCache.set(command, size);
  return size;
}

function estimateValueBytes(value: unknown): number {
  if (typeof value === "string") return estimateTextBytes(value);
  if (typeof value !== "object" || value === null) return VALUE_OVERHEAD_BYTES;
  let size = VALUE_OVERHEAD_BYTES;
  for (const [key, inner] of Object.entries(value)) {
    size += key.length + estimateValueBytes(inner);
  }
  return size;
}

/** Counts the UTF-8 bytes of a string with JSON escapes. */
function estimateTextBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text)) + VALUE_OVERHEAD_BYTES;
}
