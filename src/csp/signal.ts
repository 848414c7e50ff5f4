import type * as clocks from "../clock/mod.ts";

/** Wakes all waiters each time a change is notified. */
export class Signal {
  #waiters: readonly (() => void)[] = [];

  /** Wakes all current waiters. */
  notify(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  /**
   * Waits for the next notification or the timeout, whichever is first.
   *
   * @param clock The clock that runs the timeout.
   * @param timeoutMs Longest wait, in ms.
   */
  wait(clock: clocks.Clock, timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const cancel = clock.startTimer(timeoutMs, () => {
        this.#removeWaiter(wake);
        resolve();
      });
      function wake(): void {
        cancel();
        resolve();
      }
      this.#waiters = [...this.#waiters, wake];
    });
  }

  #removeWaiter(wake: () => void): void {
    this.#waiters = this.#waiters.filter((other) => other !== wake);
  }
}
