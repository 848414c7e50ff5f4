import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";

/** Where the administration API of a box is. */
export interface WatchedBox {
  readonly box: string;
  readonly baseUrl: string;
}

/** What a box served as the template's revision and parameters. */
export interface WatchedValue {
  readonly revision: number;
  readonly parameters: Readonly<Record<string, unknown>>;
}

const POLL_MS = 10;
const READ_TIMEOUT_MS = 500;

/** What the watch needs. */
export interface ConfigWatchOptions {
  readonly boxes: readonly WatchedBox[];
  readonly path: string;
  readonly token: string;
  /** Whether a box is expected to answer now. */
  readonly isUp: (box: string) => boolean;
}

/**
 * Asks every box for a template, again and again, from outside: notes when
 * each revision is served everywhere, and any revision that goes back.
 */
export class ConfigWatch {
  readonly #options: ConfigWatchOptions;
  readonly #seen = new Map<string, WatchedValue>();
  #reverted = 0;
  #isStopped = false;

  constructor(options: ConfigWatchOptions) {
    this.#options = options;
  }

  start(): void {
    for (const box of this.#options.boxes) void this.#watch(box);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Boxes that served an older revision, or other values under the same. */
  countReverted(): number {
    return this.#reverted;
  }

  /** Waits until every box that is up serves a revision or a later one. */
  async waitFor(revision: number, timeoutMs: number): Promise<boolean> {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      const isEverywhere = this.#options.boxes
        .filter((box) => this.#options.isUp(box.box))
        .every((box) => (this.#seen.get(box.box)?.revision ?? 0) >= revision);
      if (isEverywhere) return true;
      await sleeps.sleep(POLL_MS);
    }
    return false;
  }

  getSeen(box: string): WatchedValue | undefined {
    return this.#seen.get(box);
  }

  async #watch(box: WatchedBox): Promise<void> {
    while (!this.#isStopped) {
      await this.#read(box);
      await sleeps.sleep(POLL_MS);
    }
  }

  async #read(box: WatchedBox): Promise<void> {
    const answer = await httpClient.sendJson({
      baseUrl: box.baseUrl,
      method: "GET",
      path: this.#options.path,
      headers: { authorization: `Bearer ${this.#options.token}` },
      timeoutMs: READ_TIMEOUT_MS,
    });
    if (answer.kind === "failure" || answer.value.status !== 200) return;
    const value = answer.value.json as WatchedValue;
    const before = this.#seen.get(box.box);
    if (before !== undefined && isReverted(before, value)) this.#reverted += 1;
    this.#seen.set(box.box, value);
  }
}

/**
 * Tells whether a box went back: an older revision, or the same revision with
 * other values.
 *
 * @param before What it served before.
 * @param now What it serves now.
 * @returns Whether that is a reversal.
 */
export function isReverted(before: WatchedValue, now: WatchedValue): boolean {
  if (now.revision < before.revision) return true;
  return now.revision === before.revision &&
    JSON.stringify(now.parameters) !== JSON.stringify(before.parameters);
}
