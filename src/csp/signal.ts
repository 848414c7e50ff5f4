import type * as clocks from "../clock/mod.ts";

/** Wakes all who wait, each time something changed. */
export class Signal {
  #waiters: readonly (() => void)[] = [];

  /** Wakes all who wait now. */
  notify(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  /**
   * Waits for the next change.
   *
   * @param clock Clock of the timeout.
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
