/** Retries that are allowed before any request was counted. */
const INITIAL_BALANCE = 10;
const MAX_BALANCE = 100;

/** Bounds retries to a share of first tries, so that load is not amplified. */
export class RetryBudget {
  readonly #ratio: number;
  #balance = INITIAL_BALANCE;

  /** @param ratio Retries earned by each first try. */
  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  /** Notes a first try. */
  recordFirstAttempt(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + this.#ratio);
  }

  /** Takes one retry; false when the budget is spent. */
  takeRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
