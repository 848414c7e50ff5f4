import type * as children from "../deployment/child.ts";

/** Length of one cycle of running and suspension, in ms. */
const PERIOD_MS = 30;

/**
 * Limits processes to a share of a core by suspending and resuming them in
 * short cycles, which begin when the process is added.
 */
export class CpuThrottle {
  readonly #runMs: number;
  readonly #timers = new Map<children.Child, NodeJS.Timeout>();

  /** @param share Share of a core for each process; 1 disables the throttle. */
  constructor(share: number) {
    this.#runMs = Math.round(PERIOD_MS * share);
  }

  /** Throttles a process until it exits or is released. */
  limit(child: children.Child): void {
    if (this.#runMs >= PERIOD_MS || this.#timers.has(child)) return;
    this.#resumeProcess(child);
  }

  /** Stops throttling a process and resumes it if it is suspended. */
  release(child: children.Child): void {
    clearTimeout(this.#timers.get(child));
    this.#timers.delete(child);
    child.kill("SIGCONT");
  }

  /** Releases all processes. */
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
