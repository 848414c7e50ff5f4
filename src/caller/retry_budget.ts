/** Retries that are allowed before any request was counted. */
const FIRST_RETRIES = 10;
const MAX_SAVED_RETRIES = 100;

/** Bounds retries to a share of first tries, so that load is not amplified. */
export class RetryBudget {
  readonly #ratio: number;
  #saved = FIRST_RETRIES;

  /** @param ratio Retries earned by each first try. */
  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  /** Notes a first try. */
  addFirstTry(): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + this.#ratio);
  }

  /** Takes one retry; false when the budget is spent. */
  takeRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
