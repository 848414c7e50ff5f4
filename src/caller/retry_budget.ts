/** Retries available before the first attempt is recorded. */
const INITIAL_BALANCE = 10;
/** Most retries that can accumulate. */
const MAX_BALANCE = 100;

/**
 * Limits retries to a fraction of first attempts, so that failures do not
 * amplify the load.
 */
export class RetryBudget {
  readonly #ratio: number;
  #balance = INITIAL_BALANCE;

  /** @param ratio Retries added per first attempt. */
  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  /** Adds the retries that a first attempt earns. */
  recordFirstAttempt(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + this.#ratio);
  }

  /** Takes one retry; returns false if the budget is exhausted. */
  takeRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
