import * as slotReleaseRates from "./slot_release_rate.ts";
import * as retrySchedules from "./retry_schedule.ts";

/**
 * Requests that wait at once at most. Each holds its body; with bodies of some
 * kilobytes the line stays within some megabytes of the 64 that a box has.
 */
const MAX_QUEUED = 512;

/** A request that all servers refused, and that could wait for a place. */
export interface QueuedRequest {
  readonly id: string;
  /** Rank of its kind; 0 goes first. */
  readonly priority: number;
  /** When its answer loses its full worth, in monotonic ms. */
  readonly targetAtMs: number;
  /** When it must have got a place, or is refused, in monotonic ms. */
  readonly deadlineAtMs: number;
}

/** What became of a request that wanted to wait. */
export type EnqueueResult =
  | { readonly kind: "waiting" }
  /** It would wait in vain. */
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** A request that is refused after it has waited. */
export interface ExpiredRequest {
  readonly id: string;
  readonly retryAfterMs: number;
}

/**
 * The requests of one service that wait at one box for places at its servers.
 *
 * It answers a load above what the servers bear: for a moment, as when many
 * callers return together after an outage or a third of the servers is lost, or
 * for long. In the first case all wait a little and are served; in the second
 * the line refuses at once whom it could not serve, as it knows how often a
 * place comes free.
 */
export class AdmissionQueue {
  readonly #releaseRate = new slotReleaseRates.SlotReleaseRate();
  readonly #retries = new retrySchedules.RetrySchedule();
  readonly #queued = new Map<string, QueuedRequest>();

  /** How many wait. */
  count(): number {
    return this.#queued.size;
  }

  /** Lets a request wait unless its turn would come too late. */
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

  /** Tells a caller that can't be served now when to come back, in ms. */
  scheduleRetry(nowMs: number): number {
    return this.#retries.assign(nowMs, this.#releaseRate.getIntervalMs(nowMs));
  }

  /** Forgets a request that no longer waits. */
  remove(id: string): void {
    this.#queued.delete(id);
  }

  /** Notes that a place at a server came free. */
  recordFreedSlot(nowMs: number): void {
    this.#releaseRate.record(nowMs);
  }

  /** Takes the request whose turn it is out of the line. */
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

  /** Takes out those whose time is over, each with when to come back. */
  removeExpired(nowMs: number): readonly ExpiredRequest[] {
    return [...this.#queued.values()]
      .filter((request) => request.deadlineAtMs <= nowMs)
      .map(({ id }) => {
        this.#queued.delete(id);
        return { id, returnMs: this.scheduleRetry(nowMs) };
      });
  }

  /** Time until a request's turn; 0 where the rate of places is not known. */
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
 * Tells whose turn comes first. More urgent kinds go first; then those that can
 * still be answered in time, the one with the least time left at the front;
 * then the late ones, the newest first, as old ones gain nothing any more and
 * would make the newer ones late as well.
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
