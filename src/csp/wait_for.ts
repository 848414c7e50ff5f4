import * as jsCsps from "./_js_csp.ts";
import type * as channels from "./channel.ts";

interface SettledPromise<T> {
  readonly value?: T;
  readonly error?: unknown;
  readonly isError: boolean;
}

/**
 * Waits for a promise inside a process.
 *
 * @param promise The promise.
 * @returns Its value.
 * @throws Whatever the promise rejects with.
 */
export function* waitFor<T>(promise: Promise<T>): channels.Step<T> {
  const channel = jsCsps.jsCsp.chan(1);
  promise.then(
    (value) => jsCsps.jsCsp.putAsync(channel, { value, isError: false }),
    (error: unknown) =>
      jsCsps.jsCsp.putAsync(channel, { error, isError: true }),
  );
  const settled = (yield jsCsps.jsCsp.take(channel)) as SettledPromise<T>;
  if (settled.isError) throw settled.error;
  return settled.value as T;
}
