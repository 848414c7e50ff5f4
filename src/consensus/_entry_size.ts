import type * as replicaLogs from "./replica_log.ts";

/** Bytes of a number, a key's quotes or what else stands around a value, about. */
const VALUE_OVERHEAD_BYTES = 8;

/** Sizes of commands; a command does not change once it is in a log. */
const sizeCache = new WeakMap<object, number>();

/**
 * Estimates the bytes of an entry in a message. Encoding it only for its size
 * would cost as much as sending it.
 *
 * @param entry The entry.
 * @returns Its size in bytes, about.
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

/** Bytes of a text in a message: its characters may take three, or be escaped. */
function estimateTextBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text)) + VALUE_OVERHEAD_BYTES;
}
