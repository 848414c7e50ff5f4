import type * as clocks from "./clock.ts";

/**
 * Waits on a clock.
 *
 * @param clock The clock to wait on.
 * @param delayMs How long, in ms.
 * @returns A promise that resolves after the delay.
 */
export function sleep(clock: clocks.Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(delayMs, resolve);
  });
}
