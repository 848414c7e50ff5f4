import type * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as waitDeadlines from "./_compute_wait_deadline.ts";

/** Tracks how long one job is queued for a free slot at a server. */
export class SlotWait {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #job: jobs.ForwardJob;
  /** Start of the wait, in monotonic ms; undefined before `start`. */
  #startedAtMs: number | undefined;
  #giveUpAtMs = 0;

  constructor(
    options: forwarderOptions.ForwarderOptions,
    job: jobs.ForwardJob,
  ) {
    this.#options = options;
    this.#job = job;
  }

  /** Whether a ready server of the service is marked as full. */
  hasFullServer(): boolean {
    const { loads } = this.#options;
    return this.#listReady().some((server) => loads.isFull(server.lifetime));
  }

  /**
   * Starts the wait. Further calls keep the original start and end.
   *
   * @returns Time by which the job must get a slot, in monotonic ms.
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

  /** Returns the time since `start` in whole ms; 0 before it. */
  getWaitedMs(): number {
    const nowMs = this.#options.clock.getMonotonicMs();
    return Math.round(nowMs - (this.#startedAtMs ?? nowMs));
  }

  #listReady(): readonly registry.RegisteredServer[] {
    return this.#options.servers.listReady(this.#job.service);
  }
}
