/**
 * Streams of server-sent events: their parsing, and whether they are whole.
 *
 * @example
 * ```ts
 * import * as eventStreams from "../event_stream/mod.ts";
 * const reader = new eventStreams.EventStreamReader({ onEvent: console.log });
 * reader.read(Buffer.from("data: a\n\n"));
 * reader.end(); // true
 * ```
 * @module
 */
export * from "./event_stream_reader.ts";
export * from "./is_whole_stream.ts";
