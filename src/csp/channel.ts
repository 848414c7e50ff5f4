import * as jsCsps from "./_js_csp.ts";
import type * as raw from "js-csp";

/** What `take` gives once a channel is closed and empty. */
export const CLOSED: unique symbol = Symbol("closed");

/** A step of a process; `yield*` it to receive its value. */
export type Step<T> = Generator<unknown, T, unknown>;

/**
 * A bounded, typed channel over js-csp. A full channel refuses `offer`, so
 * each sender states what it does then.
 */
export class Channel<T> {
  readonly #raw: raw.RawChannel;

  /** @param capacity How many values wait at most. */
  constructor(capacity: number) {
    this.#raw = jsCsps.jsCsp.chan(capacity);
  }

  /** Adds a value without waiting; false when the channel is full or closed. */
  offer(value: T): boolean {
    return jsCsps.jsCsp.offer(this.#raw, value);
  }

  /** Removes a value without waiting, if there is one. */
  poll(): T | undefined {
    const value = jsCsps.jsCsp.poll(this.#raw);
    if (value === jsCsps.jsCsp.NO_VALUE || value === jsCsps.jsCsp.CLOSED) {
      return undefined;
    }
    return value as T;
  }

  /** Waits for the next value inside a process. */
  *take(): Step<T | typeof CLOSED> {
    const value = yield jsCsps.jsCsp.take(this.#raw);
    return value === jsCsps.jsCsp.CLOSED ? CLOSED : value as T;
  }

  /** Closes the channel; values already in it can still be taken. */
  close(): void {
    this.#raw.close();
  }
}
