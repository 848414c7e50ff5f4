/** Notifies its listeners, once, that work is cancelled. */
export class Cancellation {
  readonly #listeners = new Set<() => void>();
  #isCancelled = false;

  isCancelled(): boolean {
    return this.#isCancelled;
  }

  /** Cancels and calls the listeners; further calls have no effect. */
  cancel(): void {
    if (this.#isCancelled) return;
    this.#isCancelled = true;
    for (const listener of this.#listeners) listener();
    this.#listeners.clear();
  }

  /** Adds a listener; it is never called if already cancelled. */
  addListener(listener: () => void): void {
    if (!this.#isCancelled) this.#listeners.add(listener);
  }

  /** Removes a listener, as when its work has finished. */
  removeListener(listener: () => void): void {
    this.#listeners.delete(listener);
  }
}
