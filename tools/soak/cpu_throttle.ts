import type * as children from "../deployment/child.ts";

/** Length of one turn of running and standing still, in ms. */
const PERIOD_MS = 30;

/**
 * Holds processes to a share of a core by stopping and continuing them in
 * short turns, each at an offset of its own.
 */
export class CpuThrottle {
  readonly #runMs: number;
  readonly #timers = new Map<children.Child, NodeJS.Timeout>();

  /** @param share Share of a core, 1 for no brake. */
  constructor(share: number) {
    this.#runMs = Math.round(PERIOD_MS * share);
  }

  /** Holds a process from now on, until it ends. */
  limit(child: children.Child): void {
    if (this.#runMs >= PERIOD_MS || this.#timers.has(child)) return;
    this.#resumeProcess(child);
  }

  /** Lets a process run freely, as before it is stopped otherwise. */
  release(child: children.Child): void {
    clearTimeout(this.#timers.get(child));
    this.#timers.delete(child);
    child.kill("SIGCONT");
  }

  stop(): void {
    for (const child of [...this.#timers.keys()]) this.release(child);
  }

  #resumeProcess(child: children.Child): void {
    if (child.getEnd() !== undefined) return void this.#timers.delete(child);
    child.kill("SIGCONT");
    this.#schedule(child, this.#runMs, () => this.#suspendProcess(child));
  }

  #suspendProcess(child: children.Child): void {
    child.kill("SIGSTOP");
    this.#schedule(
      child,
      PERIOD_MS - this.#runMs,
      () => this.#resumeProcess(child),
    );
  }

  #schedule(child: children.Child, delayMs: number, action: () => void): void {
    this.#timers.set(child, setTimeout(action, delayMs));
  }
}
