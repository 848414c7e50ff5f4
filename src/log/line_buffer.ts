import * as fs from "node:fs";

/** Delay of a write, in ms, to combine many lines in one system call. */
const FLUSH_INTERVAL_MS = 200;
/** Largest size of the buffered lines, in characters. */
const MAX_BUFFERED_CHARS = 512 * 1024;
const STDOUT_FD = 1;

/**
 * Buffers log lines and writes them asynchronously. Lines are dropped while the
 * buffer is full, so a slow reader never blocks the process.
 */
export class LineBuffer {
  readonly #write: (text: string, done: () => void) => void;
  #lines: string[] = [];
  #bufferedChars = 0;
  #droppedCount = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param write Writes a text and calls `done` when finished. */
  constructor(write = writeStdout) {
    this.#write = write;
  }

  /** Adds a line that ends in a newline; drops it if the buffer is full. */
  add(line: string): void {
    if (this.#bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this.#droppedCount += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedChars += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Returns the number of lines dropped so far. */
  getDroppedCount(): number {
    return this.#droppedCount;
  }

  /** Writes the buffered lines, unless a write is in progress. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#lines.length === 0) return;
    const text = this.#lines.join("");
    this.#lines = [];
    this.#bufferedChars = 0;
    this.#isWriting = true;
    this.#write(text, () => {
      this.#isWriting = false;
      if (this.#lines.length > 0) this.flush();
    });
  }
}

function writeStdout(text: string, done: () => void): void {
  fs.write(STDOUT_FD, text, () => done());
}
