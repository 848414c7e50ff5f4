const LF = 10;
const CR = 13;
const COLON = 58;
/** An empty line, whatever ended the line before. */
const EVENT_END = "\n\n";

/**
 * Tracks whether a stream of server-sent events stands between two events: the
 * lines since the last empty one are comments, and none is unfinished.
 */
export class EventBoundary {
  /** Number of characters of the unfinished line. */
  #lineLength = 0;
  #isComment = false;
  /** Whether a line that is no comment came since the last empty line. */
  #hasField = false;
  #isAfterCr = false;

  /** Adds text of the stream. */
  add(text: string): void {
    const lastEnd = text.lastIndexOf(EVENT_END);
    if (lastEnd >= 0) this.#reset();
    const start = lastEnd < 0 ? 0 : lastEnd + EVENT_END.length;
    for (let at = start; at < text.length; at += 1) {
      this.#addCharacter(text.charCodeAt(at));
    }
  }

  /** Whether no event is begun. */
  isReached(): boolean {
    return this.#lineLength === 0 && !this.#hasField;
  }

  #reset(): void {
    this.#lineLength = 0;
    this.#hasField = false;
    this.#isAfterCr = false;
  }

  #addCharacter(code: number): void {
    const isLineFeedOfCrLf = code === LF && this.#isAfterCr;
    this.#isAfterCr = code === CR;
    if (isLineFeedOfCrLf) return;
    if (code === CR || code === LF) return this.#endLine();
    if (this.#lineLength === 0) this.#isComment = code === COLON;
    this.#lineLength += 1;
  }

  #endLine(): void {
    if (this.#lineLength === 0) this.#hasField = false;
    else if (!this.#isComment) this.#hasField = true;
    this.#lineLength = 0;
  }
}
