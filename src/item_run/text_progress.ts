import type * as submissions from "../submission/mod.ts";

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
  /** Events at the front that the stores keep already. */
  #storedEvents = 0;
  #storedLastId: number | undefined;
  #resets = 0;

  /** Begins with a text that was kept. */
  restore(stored: submissions.StoredText): void {
    this.#data = [stored.text];
    this.#lastId = stored.lastId;
    this.#versions = new Set(stored.versions);
  }

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

  /** Events, or kept parts, that this process holds. */
  countLocalEvents(): number {
    return this.#data.length;
  }

  /** Events that all runs made so far, those of a kept text among them. */
  countGeneratedEvents(): number {
    return Math.max(this.#lastId ?? 0, this.#data.length);
  }

  /** Weight versions that made the text so far, rising. */
  listVersions(): readonly number[] {
    return [...this.#versions].toSorted((a, b) => a - b);
  }

  getText(): string {
    return this.#data.join("\n");
  }

  /** Id of the last event that the stores keep; undefined for none. */
  getStoredLastId(): number | undefined {
    return this.#storedLastId;
  }

  /** Events that the stores do not keep yet. */
  countUnstoredEvents(): number {
    return this.#data.length - this.#storedEvents;
  }

  /** The text after what the stores keep. */
  getUnstoredText(): string {
    return this.#data.slice(this.#storedEvents).join("\n");
  }

  /** Notes that the stores keep the text up to an event. */
  markStored(lastId: number): void {
    if (this.#lastId === undefined || lastId > this.#lastId) return;
    this.#storedEvents = this.#data.length - (this.#lastId - lastId);
    this.#storedLastId = lastId;
  }

  /** Has the whole text kept anew, where the stores keep another part of it. */
  clearStored(): void {
    this.#storedEvents = 0;
    this.#storedLastId = undefined;
  }

  /** Drops everything, for a text that must begin anew. */
  reset(): void {
    this.#data = [];
    this.#lastId = undefined;
    this.#versions = new Set();
    this.#storedEvents = 0;
    this.#storedLastId = undefined;
    this.#resets += 1;
  }

  /** How often the text began anew; what was kept before then is another. */
  countResets(): number {
    return this.#resets;
  }
}
