/** Tells those who listen, once, that work is no longer wanted. */
export class Cancellation {
  readonly #listeners = new Set<() => void>();
  #isCancelled = false;

  isCancelled(): boolean {
    return this.#isCancelled;
  }

  /** Cancels; a second call does nothing. */
  cancel(): void {
    if (this.#isCancelled) return;
    this.#isCancelled = true;
    for (const listener of this.#listeners) listener();
    this.#listeners.clear();
  }

  /** Adds a listener; it is not told if the work is cancelled already. */
  addListener(listener: () => void): void {
    if (!this.#isCancelled) this.#listeners.add(listener);
  }

  /** Removes a listener whose work has ended. */
  removeListener(listener: () => void): void {
    this.#listeners.delete(listener);
  }
}
