/**
 * Waits on the machine's clock.
 *
 * @param delayMs How long, in ms.
 * @returns A promise that resolves after the delay.
 */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
