import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as jobRuns from "./_job_run.ts";
import * as serviceQueues from "./_service_queue.ts";

/** Sends requests to backend servers, with retries and hedging where allowed. */
export class Forwarder {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #queues = new Map<string, serviceQueues.ServiceQueue>();

  constructor(options: forwarderOptions.ForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a job within its deadline and attempt limits.
   *
   * @returns The outcome; the promise never rejects.
   */
  send(job: jobs.ForwardJob): Promise<jobs.ForwardOutcome> {
    return new Promise((resolve) => {
      const queue = this.#getQueue(job.service);
      new jobRuns.JobRun(this.#options, queue, job, resolve).start();
    });
  }

  #getQueue(service: string): serviceQueues.ServiceQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = new serviceQueues.ServiceQueue(this.#options.clock);
    this.#queues.set(service, queue);
    return queue;
  }
}
