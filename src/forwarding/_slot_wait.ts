import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as waitDeadlines from "./_compute_wait_deadline.ts";

/** The wait of a job for a place at a server. */
export class SlotWait {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #job: jobs.ForwardJob;
  /** When it began, in monotonic ms. */
  #startedAtMs: number | undefined;
  #giveUpAtMs = 0;

  constructor(
    options: forwarderOptions.ForwarderOptions,
    job: jobs.ForwardJob,
  ) {
    this.#options = options;
    this.#job = job;
  }

  /** Whether servers of the service run, and were full just now. */
  hasFullServer(): boolean {
    const { loads } = this.#options;
    return this.#listReady().some((server) => loads.isFull(server.lifetime));
  }

  /**
   * Begins to wait, or goes on where it began before.
   *
   * @returns When it must have got a place, in monotonic ms.
   */
  start(): number {
    if (this.#startedAtMs !== undefined) return this.#giveUpAtMs;
    const { clock, loads } = this.#options;
    this.#startedAtMs = clock.getMonotonicMs();
    this.#giveUpAtMs = waitDeadlines.computeWaitDeadline(
      this.#job,
      this.#startedAtMs,
      () =>
        this.#listReady().map((server) =>
          loads.getMeanDurationMs(server.lifetime)
        ),
    );
    return this.#giveUpAtMs;
  }

  /** How long it has waited, in whole ms; 0 if it never did. */
  getWaitedMs(): number {
    const nowMs = this.#options.clock.getMonotonicMs();
    return Math.round(nowMs - (this.#startedAtMs ?? nowMs));
  }

  #listReady(): readonly registry.RegisteredServer[] {
    return this.#options.servers.listReady(this.#job.service);
  }
}
