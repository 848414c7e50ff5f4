/**
 * The bytes of requests and answers that a process holds: their bound over all
 * connections, and buffers whose memory is returned at once.
 *
 * @example
 * ```ts
 * import * as heldBytes from "../held_bytes/mod.ts";
 * heldBytes.SHARED_HELD_BYTES.add(holder, chunk.length);
 * ```
 * @module
 */
export * from "./byte_collector.ts";
export { collectAfterMessage, LARGE_MESSAGE_BYTES } from "./collect_garbage.ts";
export * from "./held_bytes.ts";
export * from "./serial_gate.ts";
export * from "./memory_guard.ts";
