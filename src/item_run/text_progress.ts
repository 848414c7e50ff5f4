/** One event of a text, as an engine made it. */
export interface TextEvent {
  readonly id: number;
  readonly data: string;
  readonly version: number;
}

/** The part of an item's text that has arrived, over all its runs. */
export class TextProgress {
  #data: string[] = [];
  #lastId: number | undefined;
  #versions: ReadonlySet<number> = new Set();

  /** Adds the next event; false when it does not follow the last one. */
  add(event: TextEvent): boolean {
    if (this.#lastId !== undefined && event.id !== this.#lastId + 1) {
      return false;
    }
    this.#data.push(event.data);
    this.#lastId = event.id;
    if (!this.#versions.has(event.version)) {
      this.#versions = new Set([...this.#versions, event.version]);
    }
    return true;
  }

  /** Id of the last event; undefined before the first. */
  getLastId(): number | undefined {
    return this.#lastId;
  }

  countEvents(): number {
    return this.#data.length;
  }

  /** Weight versions that made the text so far, rising. */
  listVersions(): readonly number[] {
    return [...this.#versions].toSorted((a, b) => a - b);
  }

  getText(): string {
    return this.#data.join("\n");
  }

  /** Drops everything, for a text that must begin anew. */
  reset(): void {
    this.#data = [];
    this.#lastId = undefined;
    this.#versions = new Set();
  }
}
