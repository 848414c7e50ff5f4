import type * as clocks from "./clock.ts";

/** How calls are gathered. */
export interface CoalescedCallOptions {
  readonly clock: clocks.Clock;
  /** Time from the first call to the action, in ms. */
  readonly delayMs: number;
  readonly action: () => void;
}

/** Carries out one action for all calls that come within a while. */
export class CoalescedCall {
  readonly #options: CoalescedCallOptions;
  #isScheduled = false;

  constructor(options: CoalescedCallOptions) {
    this.#options = options;
  }

  /** Has the action carried out soon, once. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const { clock, delayMs, action } = this.#options;
    clock.startTimer(delayMs, () => {
      this.#isScheduled = false;
      action();
    });
  }
}
