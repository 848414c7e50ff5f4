/** Most bytes of a stream without a whole event. */
const MAX_BYTES_WITHOUT_EVENT = 256 * 1024;
/** Most bytes of the body of an answer that is no stream. */
const MAX_ERROR_BODY_BYTES = 64 * 1024;

/**
 * Bounds what is read of a server's stream of events. Bytes that complete no event
 * may come without end: a line that never ends, comments, or the body of an error.
 */
export class StreamLimit {
  readonly #maxBytes: number;
  #maxUselessBytes = MAX_BYTES_WITHOUT_EVENT;
  #bytes = 0;
  #uselessBytes = 0;

  /** @param maxBytes Most bytes of the whole stream. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Notes that the answer is no stream, so that its body is of little use. */
  markAsError(): void {
    this.#maxUselessBytes = MAX_ERROR_BODY_BYTES;
  }

  /** Adds received bytes, before the events in them are taken. */
  addBytes(count: number): void {
    this.#bytes += count;
    this.#uselessBytes += count;
  }

  /** Notes that an event was taken. */
  recordEvent(): void {
    this.#uselessBytes = 0;
  }

  /** Whether more has been received than is read of such a stream. */
  isExceeded(): boolean {
    return this.#bytes > this.#maxBytes ||
      this.#uselessBytes > this.#maxUselessBytes;
  }
}
