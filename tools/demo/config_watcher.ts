import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";

/** A box and the URL of its administration API. */
export interface WatchedBox {
  readonly box: string;
  readonly baseUrl: string;
}

/** Revision and parameters of a template as served by a box. */
export interface ServedTemplate {
  readonly revision: number;
  readonly parameters: Readonly<Record<string, unknown>>;
}

const POLL_MS = 10;
const READ_TIMEOUT_MS = 500;

/** Options of a configuration watcher. */
export interface ConfigWatcherOptions {
  readonly boxes: readonly WatchedBox[];
  /** Path of the watched template in the administration API. */
  readonly path: string;
  readonly token: string;
  /** Whether a box is expected to respond now. */
  readonly isUp: (box: string) => boolean;
}

/**
 * Polls a template on every box to find when a revision is served everywhere,
 * and whether a box ever goes back to an older one.
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

  /** Returns how often a box reverted; see `isReverted`. */
  countReverted(): number {
    return this.#revertedCount;
  }

  /**
   * Waits until every box that is up serves a revision or a later one.
   *
   * @param revision The revision.
   * @param timeoutMs Maximum time to wait, in ms.
   * @returns Whether they did before the timeout.
   */
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

  /** Returns what a box served last; undefined if nothing yet. */
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
 * Checks whether a box reverted to an older revision, or serves the same
 * revision with other parameters.
 *
 * @param previous The value that the box served before.
 * @param current The value that the box serves now.
 * @returns Whether the box reverted.
 */
export function isReverted(
  previous: ServedTemplate,
  current: ServedTemplate,
): boolean {
  if (current.revision < previous.revision) return true;
  return current.revision === previous.revision &&
    JSON.stringify(current.parameters) !== JSON.stringify(previous.parameters);
}
