import * as zlib from "node:zlib";

/** A cache event as it is told. */
export interface ToldEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefix: string;
}

interface LoggedEvent extends ToldEvent {
  readonly atMs: number;
}

/** Time after which an event is told, in ms. */
const LAG_MS = 300;
/** One event in so many is never told. */
const GAP_EVERY = 50;
const MAX_EVENTS = 1_000;

/** An engine's cache events: told late, and with gaps. */
export class CacheLog {
  #events: readonly LoggedEvent[] = [];
  #sequence = 0;

  add(kind: ToldEvent["kind"], text: string): void {
    this.#sequence += 1;
    if (this.#sequence % GAP_EVERY === 0) return;
    const prefix = zlib.crc32(text).toString(16);
    const event = { sequence: this.#sequence, kind, prefix, atMs: Date.now() };
    this.#events = [...this.#events, event].slice(-MAX_EVENTS);
  }

  list(after: number): readonly ToldEvent[] {
    const untilMs = Date.now() - LAG_MS;
    return this.#events
      .filter((event) => event.sequence > after && event.atMs <= untilMs)
      .map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }));
  }
}
