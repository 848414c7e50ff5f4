import type * as children from "../deployment/child.ts";

/** Length of one turn of running and standing still, in ms. */
const TURN_MS = 30;

/**
 * Holds processes to a share of a core by stopping and continuing them in
 * short turns, each at an offset of its own.
 */
export class ProcessBrake {
  readonly #runMs: number;
  readonly #held = new Map<children.Child, NodeJS.Timeout>();

  /** @param share Share of a core, 1 for no brake. */
  constructor(share: number) {
    this.#runMs = Math.round(TURN_MS * share);
  }

  /** Holds a process from now on, until it ends. */
  limit(child: children.Child): void {
    if (this.#runMs >= TURN_MS || this.#held.has(child)) return;
    this.#resume(child);
  }

  /** Lets a process run freely, as before it is stopped otherwise. */
  release(child: children.Child): void {
    clearTimeout(this.#held.get(child));
    this.#held.delete(child);
    child.kill("SIGCONT");
  }

  stop(): void {
    for (const child of [...this.#held.keys()]) this.release(child);
  }

  #resume(child: children.Child): void {
    if (child.getEnd() !== undefined) return void this.#held.delete(child);
    child.kill("SIGCONT");
    this.#schedule(child, this.#runMs, () => this.#stopProcess(child));
  }

  #stopProcess(child: children.Child): void {
    child.kill("SIGSTOP");
    this.#schedule(child, TURN_MS - this.#runMs, () => this.#resume(child));
  }

  #schedule(child: children.Child, delayMs: number, action: () => void): void {
    this.#held.set(child, setTimeout(action, delayMs));
  }
}
