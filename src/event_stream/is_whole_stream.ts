import * as eventStreamReaders from "./event_stream_reader.ts";

/** Tells whether a stream of server-sent events ends after a whole event. */
export function isWholeStream(body: Buffer): boolean {
  const reader = new eventStreamReaders.EventStreamReader({
    onEvent: () => {},
  });
  reader.read(body);
  return reader.end();
}
