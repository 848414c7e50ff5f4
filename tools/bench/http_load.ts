import * as http from "node:http";
import * as hdr from "hdr-histogram-js";

/** Target of a load: a GET request that is repeated. */
export interface LoadTarget {
  readonly address: string;
  readonly port: number;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Result of a load run. */
export interface LoadResult {
  /** Requests answered with 200. */
  readonly answered: number;
  readonly failed: number;
  /** Throughput, in answered requests a second. */
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

const US_PER_MS = 1_000;
const MAX_LATENCY_US = 60_000_000;

/** Sends requests to one target over keep-alive connections. */
class LoadRun {
  readonly #target: LoadTarget;
  readonly #agent: http.Agent;
  readonly #histogram = hdr.build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  #failed = 0;

  constructor(target: LoadTarget, connections: number) {
    this.#target = target;
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: connections,
      maxFreeSockets: connections,
    });
  }

  /** Sends one request; its latency is measured from `dueMs`. */
  send(dueMs: number): Promise<void> {
    const { address, port, path, headers } = this.#target;
    return new Promise((resolve) => {
      const request = http.request({
        host: address,
        port,
        path,
        headers,
        agent: this.#agent,
      }, (answer) => {
        answer.resume();
        answer.on("end", () => {
          if (answer.statusCode === 200) this.#recordLatency(dueMs);
          else this.#failed += 1;
          resolve();
        });
      });
      request.on("error", () => {
        this.#failed += 1;
        resolve();
      });
      request.end();
    });
  }

  /** Closes the connections and returns the result of a run of `seconds`. */
  finish(seconds: number): LoadResult {
    this.#agent.destroy();
    const answered = this.#histogram.totalCount;
    return {
      answered,
      failed: this.#failed,
      perSecond: Math.round(answered / seconds),
      p50Ms: this.#getLatencyMs(50),
      p99Ms: this.#getLatencyMs(99),
      p999Ms: this.#getLatencyMs(99.9),
    };
  }

  #recordLatency(dueMs: number): void {
    const latencyUs = Math.max(
      1,
      Math.round((performance.now() - dueMs) * US_PER_MS),
    );
    this.#histogram.recordValue(Math.min(MAX_LATENCY_US, latencyUs));
  }

  #getLatencyMs(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / US_PER_MS;
  }
}

/**
 * Runs a closed loop: a fixed number of requests is always in flight.
 *
 * @param target Target of the requests.
 * @param concurrency Number of requests in flight.
 * @param seconds Duration, in s.
 * @returns Counts, throughput and latencies.
 */
export async function runClosedLoop(
  target: LoadTarget,
  concurrency: number,
  seconds: number,
): Promise<LoadResult> {
  const run = new LoadRun(target, concurrency);
  const startMs = performance.now();
  const endMs = startMs + seconds * 1_000;
  async function sendUntilEnd(): Promise<void> {
    while (performance.now() < endMs) await run.send(performance.now());
  }
  await Promise.all(Array.from({ length: concurrency }, sendUntilEnd));
  return run.finish((performance.now() - startMs) / 1_000);
}

/**
 * Runs an open loop: requests are sent on a fixed schedule, so that slow
 * answers do not delay later requests and hide their latency (coordinated
 * omission).
 *
 * @param target Target of the requests.
 * @param perSecond Rate, in requests a second.
 * @param seconds Duration, in s.
 * @returns Counts, throughput and latencies, measured from the scheduled times.
 */
export async function runOpenLoop(
  target: LoadTarget,
  perSecond: number,
  seconds: number,
): Promise<LoadResult> {
  const run = new LoadRun(target, perSecond);
  const startMs = performance.now();
  const total = Math.floor(perSecond * seconds);
  const running: Promise<void>[] = [];
  let sentCount = 0;
  while (sentCount < total) {
    const dueCount = Math.min(
      total,
      Math.floor((performance.now() - startMs) * perSecond / 1_000) + 1,
    );
    for (; sentCount < dueCount; sentCount += 1) {
      running.push(run.send(startMs + sentCount * 1_000 / perSecond));
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(running);
  return run.finish(seconds);
}
