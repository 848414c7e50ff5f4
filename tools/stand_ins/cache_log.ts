import * as zlib from "node:zlib";

/** A cache event as it is told. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefix: string;
}

interface LoggedEvent extends CacheEvent {
  readonly atMs: number;
}

/** Time after which an event is told, in ms. */
const REPORT_DELAY_MS = 300;
/** One event in so many is never told. */
const DROP_INTERVAL = 50;
const MAX_EVENTS = 1_000;

/** An engine's cache events: told late, and with gaps. */
export class CacheLog {
  #events: readonly LoggedEvent[] = [];
  #sequence = 0;

  add(kind: CacheEvent["kind"], text: string): void {
    this.#sequence += 1;
    if (this.#sequence % DROP_INTERVAL === 0) return;
    const prefix = zlib.crc32(text).toString(16);
    const event = { sequence: this.#sequence, kind, prefix, atMs: Date.now() };
    this.#events = [...this.#events, event].slice(-MAX_EVENTS);
  }

  list(after: number): readonly CacheEvent[] {
    const untilMs = Date.now() - REPORT_DELAY_MS;
    return this.#events
      .filter((event) => event.sequence > after && event.atMs <= untilMs)
      .map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }));
  }
}
