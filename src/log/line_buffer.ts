import * as fs from "node:fs";

/** Between two writes, in ms; one system call then carries many lines. */
const FLUSH_MS = 200;
/** Most text that waits for a slow reader, in characters. */
const MAX_WAITING = 512 * 1024;
const STANDARD_OUTPUT = 1;

/** Gathers log lines and writes them without ever waiting for the reader. */
export class LineBuffer {
  readonly #write: (text: string, done: () => void) => void;
  #lines: string[] = [];
  #size = 0;
  #lost = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param write Writes a text and tells when it is done. */
  constructor(write = writeOutput) {
    this.#write = write;
  }

  /** Adds a line with its newline; dropped when too much waits. */
  add(line: string): void {
    if (this.#size + line.length > MAX_WAITING) {
      this.#lost += 1;
      return;
    }
    this.#lines.push(line);
    this.#size += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_MS).unref();
  }

  /** Lines that were dropped so far. */
  getLost(): number {
    return this.#lost;
  }

  /** Writes what waits now, unless a write is under way. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#lines.length === 0) return;
    const text = this.#lines.join("");
    this.#lines = [];
    this.#size = 0;
    this.#isWriting = true;
    this.#write(text, () => {
      this.#isWriting = false;
      if (this.#lines.length > 0) this.flush();
    });
  }
}

function writeOutput(text: string, done: () => void): void {
  fs.write(STANDARD_OUTPUT, text, () => done());
}
