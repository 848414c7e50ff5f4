import type * as clocks from "./clock.ts";

/** Options of {@linkcode CoalescedCall}. */
export interface CoalescedCallOptions {
  readonly clock: clocks.Clock;
  /** Time from the first `schedule` to the action, in ms. */
  readonly delayMs: number;
  readonly action: () => void;
}

/** Coalesces the calls made within a delay into one run of an action. */
export class CoalescedCall {
  readonly #options: CoalescedCallOptions;
  #isScheduled = false;

  constructor(options: CoalescedCallOptions) {
    this.#options = options;
  }

  /** Runs the action after the delay, unless a run is already scheduled. */
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
