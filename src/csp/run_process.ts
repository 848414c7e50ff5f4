import * as jsCsps from "./_js_csp.ts";
import type * as channels from "./channel.ts";

/**
 * Starts a process that runs until its generator ends.
 *
 * @param body The process.
 * @param onError Told of an error thrown by the process, which then ends.
 */
export function runProcess(
  body: () => channels.Step<void>,
  onError: (error: unknown) => void,
): void {
  jsCsps.jsCsp.go(function* guardBody() {
    try {
      yield* body();
    } catch (error) {
      onError(error);
    }
  });
}
