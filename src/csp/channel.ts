import * as jsCsps from "./_js_csp.ts";
import type * as raw from "js-csp";

/** Result of `take` on a channel that is closed and empty. */
export const CLOSED: unique symbol = Symbol("closed");

/** A step of a process; `yield*` runs it and returns its value. */
export type Step<T> = Generator<unknown, T, unknown>;

/**
 * A bounded, typed channel over js-csp. Sending never blocks: `offer` returns
 * false on a full channel, and the sender handles that case.
 */
export class Channel<T> {
  readonly #raw: raw.RawChannel;

  /** @param capacity Maximum number of buffered values. */
  constructor(capacity: number) {
    this.#raw = jsCsps.jsCsp.chan(capacity);
  }

  /** Adds a value without waiting; false if the channel is full or closed. */
  offer(value: T): boolean {
    return jsCsps.jsCsp.offer(this.#raw, value);
  }

  /** Removes the next value without waiting; undefined if there is none. */
  poll(): T | undefined {
    const value = jsCsps.jsCsp.poll(this.#raw);
    if (value === jsCsps.jsCsp.NO_VALUE || value === jsCsps.jsCsp.CLOSED) {
      return undefined;
    }
    return value as T;
  }

  /** Waits in a process for the next value; `CLOSED` after the last one. */
  *take(): Step<T | typeof CLOSED> {
    const value = yield jsCsps.jsCsp.take(this.#raw);
    return value === jsCsps.jsCsp.CLOSED ? CLOSED : value as T;
  }

  /** Closes the channel; buffered values can still be taken. */
  close(): void {
    this.#raw.close();
  }
}
