import type * as clocks from "./clock.ts";

/**
 * Waits for a duration on the given clock.
 *
 * @param clock The clock that runs the timer.
 * @param delayMs The duration, in ms.
 * @returns A promise that resolves after the delay.
 */
export function sleep(clock: clocks.Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(delayMs, resolve);
  });
}
