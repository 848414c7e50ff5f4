import * as placeRates from "./place_rate.ts";
import * as returnTimes from "./return_times.ts";

/**
 * Requests that wait at once at most. Each holds its body; with bodies of some
 * kilobytes the line stays within some megabytes of the 64 that a box has.
 */
const MAX_WAITING = 512;

/** A request that all servers refused, and that could wait for a place. */
export interface WaitingRequest {
  readonly id: string;
  /** Rank of its kind; 0 goes first. */
  readonly priority: number;
  /** When its answer loses its full worth, in monotonic ms. */
  readonly targetAtMs: number;
  /** When it must have got a place, or is refused, in monotonic ms. */
  readonly giveUpAtMs: number;
}

/** What became of a request that wanted to wait. */
export type Entrance =
  | { readonly kind: "waiting" }
  /** It would wait in vain. */
  | { readonly kind: "refused"; readonly returnMs: number };

/** A request that is refused after it has waited. */
export interface ExpiredRequest {
  readonly id: string;
  readonly returnMs: number;
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
export class WaitingLine {
  readonly #rate = new placeRates.PlaceRate();
  readonly #returns = new returnTimes.ReturnTimes();
  readonly #waiting = new Map<string, WaitingRequest>();

  /** How many wait. */
  count(): number {
    return this.#waiting.size;
  }

  /** Lets a request wait unless its turn would come too late. */
  enter(request: WaitingRequest, nowMs: number): Entrance {
    const waitMs = this.#estimateWaitMs(request, nowMs);
    const isInVain = this.#waiting.size >= MAX_WAITING ||
      nowMs + waitMs >= request.giveUpAtMs;
    if (isInVain) return { kind: "refused", returnMs: this.refuse(nowMs) };
    this.#waiting.set(request.id, request);
    return { kind: "waiting" };
  }

  /** Tells a caller that can't be served now when to come back, in ms. */
  refuse(nowMs: number): number {
    return this.#returns.assign(nowMs, this.#rate.getIntervalMs(nowMs));
  }

  /** Forgets a request that no longer waits. */
  leave(id: string): void {
    this.#waiting.delete(id);
  }

  /** Notes that a place at a server came free. */
  noteFreed(nowMs: number): void {
    this.#rate.note(nowMs);
  }

  /** Takes the request whose turn it is out of the line. */
  takeNext(nowMs: number): string | undefined {
    let next: WaitingRequest | undefined;
    for (const request of this.#waiting.values()) {
      if (next === undefined || isBefore(request, next, nowMs)) {
        next = request;
      }
    }
    if (next !== undefined) this.#waiting.delete(next.id);
    return next?.id;
  }

  /** Takes out those whose time is over, each with when to come back. */
  takeExpired(nowMs: number): readonly ExpiredRequest[] {
    return [...this.#waiting.values()]
      .filter((request) => request.giveUpAtMs <= nowMs)
      .map(({ id }) => {
        this.#waiting.delete(id);
        return { id, returnMs: this.refuse(nowMs) };
      });
  }

  /** Time until a request's turn; 0 where the rate of places is not known. */
  #estimateWaitMs(request: WaitingRequest, nowMs: number): number {
    const intervalMs = this.#rate.getIntervalMs(nowMs);
    if (intervalMs === undefined) return 0;
    const ahead = [...this.#waiting.values()].filter((other) =>
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
  a: WaitingRequest,
  b: WaitingRequest,
  nowMs: number,
): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  const isLate = a.targetAtMs <= nowMs;
  if (isLate !== b.targetAtMs <= nowMs) return !isLate;
  return isLate ? a.targetAtMs > b.targetAtMs : a.targetAtMs < b.targetAtMs;
}
