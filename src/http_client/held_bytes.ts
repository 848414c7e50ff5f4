/** Default of the most bytes of unfinished responses that a process holds. */
const DEFAULT_MAX_HELD_BYTES = 48 * 1024 * 1024;

/** An unfinished response whose bytes are held. */
export interface ByteHolder {
  /** Gives the response up; called at most once. */
  abort(): void;
}

/**
 * Bounds the bytes of all unfinished responses that a process holds. A bound on each
 * of them alone would not bound its memory. Beyond the limit the largest is given up.
 */
export class HeldBytes {
  #maxBytes: number;
  #total = 0;
  readonly #sizes = new Map<ByteHolder, number>();

  /** @param maxBytes Most bytes that are held. */
  constructor(maxBytes = DEFAULT_MAX_HELD_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** Sets the most bytes that are held. */
  limit(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Returns the number of bytes held now. */
  getTotal(): number {
    return this.#total;
  }

  /**
   * Adds bytes of a response. If there are too many then, the responses that hold
   * the most are given up, which may be this one.
   */
  add(holder: ByteHolder, bytes: number): void {
    this.#sizes.set(holder, (this.#sizes.get(holder) ?? 0) + bytes);
    this.#total += bytes;
    while (this.#total > this.#maxBytes) {
      const largest = this.#findLargest();
      if (largest === undefined) return;
      this.release(largest);
      largest.abort();
    }
  }

  /** Removes a response that ended. */
  release(holder: ByteHolder): void {
    this.#total -= this.#sizes.get(holder) ?? 0;
    this.#sizes.delete(holder);
  }

  #findLargest(): ByteHolder | undefined {
    let found: ByteHolder | undefined;
    let foundBytes = -1;
    for (const [holder, bytes] of this.#sizes) {
      if (bytes <= foundBytes) continue;
      found = holder;
      foundBytes = bytes;
    }
    return found;
  }
}

/** The bytes that all requests of this process hold. */
export const SHARED_HELD_BYTES = new HeldBytes();
