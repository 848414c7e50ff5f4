import * as retrySchedules from "./retry_schedule.ts";
import * as slotReleaseRates from "./slot_release_rate.ts";

/**
 * Most requests in the queue; bounds the memory held by their bodies, to some
 * megabytes with bodies of some kilobytes.
 */
const MAX_QUEUED = 512;

/** A request that all servers refused and that can wait for a slot. */
export interface QueuedRequest {
  readonly id: string;
  /** Priority class; 0 is dequeued first. */
  readonly priority: number;
  /** Latency target: when a response counts as late, in monotonic ms. */
  readonly targetAtMs: number;
  /** When it is refused unless it has been given a slot, in monotonic ms. */
  readonly deadlineAtMs: number;
}

/** Result of queueing a request. */
export type EnqueueResult =
  | { readonly kind: "waiting" }
  /** The queue is full, or the deadline would pass first; retry delay in ms. */
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** A queued request whose deadline has passed. */
export interface ExpiredRequest {
  readonly id: string;
  /** Delay after which its caller should retry, in ms. */
  readonly retryAfterMs: number;
}

/**
 * Priority queue of the requests of one service that wait at one box for a slot
 * at a backend server.
 *
 * Short bursts above capacity are absorbed. Under sustained overload, requests
 * are refused at once if the slot release rate shows that their deadline would
 * pass before their turn.
 */
export class AdmissionQueue {
  readonly #releaseRate = new slotReleaseRates.SlotReleaseRate();
  readonly #retries = new retrySchedules.RetrySchedule();
  readonly #queued = new Map<string, QueuedRequest>();

  /** Returns the number of queued requests. */
  count(): number {
    return this.#queued.size;
  }

  /** Queues a request, or refuses it if its deadline can't be met. */
  enqueue(request: QueuedRequest, nowMs: number): EnqueueResult {
    const waitMs = this.#estimateWaitMs(request, nowMs);
    const isRefused = this.#queued.size >= MAX_QUEUED ||
      nowMs + waitMs >= request.deadlineAtMs;
    if (isRefused) {
      return { kind: "refused", retryAfterMs: this.scheduleRetry(nowMs) };
    }
    this.#queued.set(request.id, request);
    return { kind: "waiting" };
  }

  /** Assigns a refused caller its retry delay, in ms. */
  scheduleRetry(nowMs: number): number {
    return this.#retries.assign(nowMs, this.#releaseRate.getIntervalMs(nowMs));
  }

  /** Removes a request from the queue, for example after it was canceled. */
  remove(id: string): void {
    this.#queued.delete(id);
  }

  /** Records that a slot at a server was freed. */
  recordFreedSlot(nowMs: number): void {
    this.#releaseRate.record(nowMs);
  }

  /** Removes the next request and returns its id; undefined if empty. */
  dequeue(nowMs: number): string | undefined {
    let next: QueuedRequest | undefined;
    for (const request of this.#queued.values()) {
      if (next === undefined || isBefore(request, next, nowMs)) {
        next = request;
      }
    }
    if (next !== undefined) this.#queued.delete(next.id);
    return next?.id;
  }

  /** Removes the requests whose deadline has passed. */
  removeExpired(nowMs: number): readonly ExpiredRequest[] {
    return [...this.#queued.values()]
      .filter((request) => request.deadlineAtMs <= nowMs)
      .map(({ id }) => {
        this.#queued.delete(id);
        return { id, retryAfterMs: this.scheduleRetry(nowMs) };
      });
  }

  /** Estimates the wait in ms; 0 while the slot release rate is unknown. */
  #estimateWaitMs(request: QueuedRequest, nowMs: number): number {
    const intervalMs = this.#releaseRate.getIntervalMs(nowMs);
    if (intervalMs === undefined) return 0;
    const ahead = [...this.#queued.values()].filter((other) =>
      !isBefore(request, other, nowMs)
    );
    return (ahead.length + 1) * intervalMs;
  }
}

/**
 * Tells whether `a` is dequeued before `b`. Order: priority; then requests that
 * can still meet their latency target, earliest target first; then late ones,
 * latest target first, so that a backlog doesn't make newer requests late too.
 */
function isBefore(
  a: QueuedRequest,
  b: QueuedRequest,
  nowMs: number,
): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  const isLate = a.targetAtMs <= nowMs;
  if (isLate !== b.targetAtMs <= nowMs) return !isLate;
  return isLate ? a.targetAtMs > b.targetAtMs : a.targetAtMs < b.targetAtMs;
}
