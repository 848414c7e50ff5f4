import * as zlib from "node:zlib";

/** A prefix cache event, as the engine reports it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /** CRC-32 of the prefix, in hexadecimal. */
  readonly prefix: string;
}

interface LoggedEvent extends CacheEvent {
  readonly atMs: number;
}

/** Delay before an event is reported, in ms. */
const REPORT_DELAY_MS = 300;
/** Every event whose sequence is a multiple of this is dropped. */
const DROP_INTERVAL = 50;
const MAX_EVENTS = 1_000;

/**
 * Records the prefix cache events of an engine. Events are reported late and
 * some are dropped, as readers must tolerate.
 */
export class CacheLog {
  #events: readonly LoggedEvent[] = [];
  #sequence = 0;

  /** Adds an event for the prefix `text`; the oldest beyond the limit go. */
  add(kind: CacheEvent["kind"], text: string): void {
    this.#sequence += 1;
    if (this.#sequence % DROP_INTERVAL === 0) return;
    const prefix = zlib.crc32(text).toString(16);
    const event = { sequence: this.#sequence, kind, prefix, atMs: Date.now() };
    this.#events = [...this.#events, event].slice(-MAX_EVENTS);
  }

  /** Lists the reported events with a sequence above `after`. */
  list(after: number): readonly CacheEvent[] {
    const untilMs = Date.now() - REPORT_DELAY_MS;
    return this.#events
      .filter((event) => event.sequence > after && event.atMs <= untilMs)
      .map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }));
  }
}
