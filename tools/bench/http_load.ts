import * as http from "node:http";
import * as hdr from "hdr-histogram-js";

/** Where load goes. */
export interface LoadTarget {
  readonly address: string;
  readonly port: number;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** What a load brought. */
export interface LoadResult {
  readonly answered: number;
  readonly failed: number;
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

const US_PER_MS = 1_000;
const MAX_LATENCY_US = 60_000_000;

/** Sends requests to one target over kept connections. */
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

  /** Sends one request; its latency counts from when it was due. */
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
 * Sends as fast as answers come, with a fixed number of requests under way.
 *
 * @param target Where to.
 * @param concurrency Requests under way.
 * @param seconds How long.
 * @returns What came back.
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
 * Sends on a fixed schedule whatever the answers do, so that slow answers are
 * not left out of the figures.
 *
 * @param target Where to.
 * @param perSecond Requests a second.
 * @param seconds How long.
 * @returns What came back, latency counted from when each was due.
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
