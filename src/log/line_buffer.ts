import * as fs from "node:fs";

/** Between two writes, in ms; one system call then carries many lines. */
const FLUSH_INTERVAL_MS = 200;
/** Most text that waits for a slow reader, in characters. */
const MAX_BUFFERED_CHARS = 512 * 1024;
const STDOUT_FD = 1;

/** Gathers log lines and writes them without ever waiting for the reader. */
export class LineBuffer {
  readonly #write: (text: string, done: () => void) => void;
  #lines: string[] = [];
  #bufferedChars = 0;
  #droppedCount = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param write Writes a text and tells when it is done. */
  constructor(write = writeStdout) {
    this.#write = write;
  }

  /** Adds a line with its newline; dropped when too much waits. */
  add(line: string): void {
    if (this.#bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this.#droppedCount += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedChars += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Lines that were dropped so far. */
  getDroppedCount(): number {
    return this.#droppedCount;
  }

  /** Writes what waits now, unless a write is under way. */
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
