import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as jobRuns from "./_job_run.ts";
import * as serviceLines from "./_service_line.ts";

/** Sends requests to backend servers, again and beside where that is allowed. */
export class Forwarder {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #lines = new Map<string, serviceLines.ServiceLine>();

  constructor(options: forwarderOptions.ForwarderOptions) {
    this.#options = options;
  }

  /** Has a job answered within its bounds. */
  send(job: jobs.ForwardJob): Promise<jobs.ForwardOutcome> {
    return new Promise((resolve) => {
      const line = this.#getLine(job.service);
      new jobRuns.JobRun(this.#options, line, job, resolve).start();
    });
  }

  #getLine(service: string): serviceLines.ServiceLine {
    const known = this.#lines.get(service);
    if (known !== undefined) return known;
    const line = new serviceLines.ServiceLine(this.#options.clock);
    this.#lines.set(service, line);
    return line;
  }
}
