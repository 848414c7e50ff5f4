import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";

/** Where the administration API of a box is. */
export interface WatchedBox {
  readonly box: string;
  readonly baseUrl: string;
}

/** What a box served as the template's revision and parameters. */
export interface ServedTemplate {
  readonly revision: number;
  readonly parameters: Readonly<Record<string, unknown>>;
}

const POLL_MS = 10;
const READ_TIMEOUT_MS = 500;

/** What the watch needs. */
export interface ConfigWatcherOptions {
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
export class ConfigWatcher {
  readonly #options: ConfigWatcherOptions;
  readonly #lastServed = new Map<string, ServedTemplate>();
  #revertedCount = 0;
  #isStopped = false;

  constructor(options: ConfigWatcherOptions) {
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
    return this.#revertedCount;
  }

  /** Waits until every box that is up serves a revision or a later one. */
  async waitFor(revision: number, timeoutMs: number): Promise<boolean> {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      const isEverywhere = this.#options.boxes
        .filter((box) => this.#options.isUp(box.box))
        .every((box) =>
          (this.#lastServed.get(box.box)?.revision ?? 0) >= revision
        );
      if (isEverywhere) return true;
      await sleeps.sleep(POLL_MS);
    }
    return false;
  }

  getLastServed(box: string): ServedTemplate | undefined {
    return this.#lastServed.get(box);
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
    const value = answer.value.json as ServedTemplate;
    const previous = this.#lastServed.get(box.box);
    if (previous !== undefined && isReverted(previous, value)) {
      this.#revertedCount += 1;
    }
    this.#lastServed.set(box.box, value);
  }
}

/**
 * Tells whether a box went back: an older revision, or the same revision with
 * other values.
 *
 * @param previous What it served before.
 * @param current What it serves now.
 * @returns Whether that is a reversal.
 */
export function isReverted(
  previous: ServedTemplate,
  current: ServedTemplate,
): boolean {
  if (current.revision < previous.revision) return true;
  return current.revision === previous.revision &&
    JSON.stringify(current.parameters) !== JSON.stringify(previous.parameters);
}
