/** Lets one piece of work at a time proceed; the others wait in their order. */
export class SerialGate {
  #last: Promise<void> = Promise.resolve();

  /**
   * Runs work once all work before it has ended.
   *
   * @param work The work; its error is thrown to the caller of this method.
   * @returns What the work returns.
   */
  run<T>(work: () => Promise<T>): Promise<T> {
    const result = this.#last.then(work);
    this.#last = result.then(() => {}, () => {});
    return result;
  }
}
