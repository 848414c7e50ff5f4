import * as jsCsps from "./_js_csp.ts";
import type * as channels from "./channel.ts";

/**
 * Starts a process that runs until its generator ends.
 *
 * @param body The process.
 * @param onError Told of an error thrown by the process, which then ends.
 * @returns A promise that resolves once the process has ended, either way.
 */
export function runProcess(
  body: () => channels.Step<void>,
  onError: (error: unknown) => void,
): Promise<void> {
  return new Promise((resolve) => {
    jsCsps.jsCsp.go(function* guardBody() {
      try {
        yield* body();
      } catch (error) {
        onError(error);
      }
      resolve();
    });
  });
}
