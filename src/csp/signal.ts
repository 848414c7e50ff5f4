import type * as clocks from "../clock/mod.ts";

/** Wakes all who wait, each time something changed. */
export class Signal {
  #waiting: readonly (() => void)[] = [];

  /** Wakes all who wait now. */
  notify(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
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
        this.#drop(wake);
        resolve();
      });
      function wake(): void {
        cancel();
        resolve();
      }
      this.#waiting = [...this.#waiting, wake];
    });
  }

  #drop(wake: () => void): void {
    this.#waiting = this.#waiting.filter((other) => other !== wake);
  }
}
