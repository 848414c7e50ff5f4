import * as jsCsps from "./_js_csp.ts";
import type * as channels from "./channel.ts";

/**
 * Starts a process that runs until its generator ends.
 *
 * @param body The generator function of the process.
 * @param onError Called with an error that the process throws, which ends it.
 * @returns A promise that resolves when the process has ended or failed.
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
