/**
 * Waits in real time.
 *
 * @param delayMs Delay, in ms.
 * @returns A promise that resolves after the delay.
 */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
