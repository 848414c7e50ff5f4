import * as jsCsps from "./_js_csp.ts";
import type * as channels from "./channel.ts";

interface SettledPromise<T> {
  readonly value?: T;
  readonly error?: unknown;
  readonly isError: boolean;
}

/**
 * Waits in a process until a promise is settled.
 *
 * @param promise The promise.
 * @returns The value of the promise.
 * @throws The reason with which the promise is rejected.
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
