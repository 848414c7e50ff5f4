import * as admission from "../admission/mod.ts";
import type * as clocks from "../clock/mod.ts";

/**
 * Interval at which the head of the queue is retried while no answers arrive, in
 * ms. Slots freed by requests of other boxes can be found only by an attempt; 25
 * attempts a second are few beside the answers of a full service.
 */
const PROBE_INTERVAL_MS = 40;

/** Priority and time limits of a queued request. */
export type QueueEntry = Omit<admission.QueuedRequest, "id">;

/** Callbacks of a queued request; at most one of them is called, once. */
export interface QueueListener {
  /** Called when a slot may be free. */
  readonly onTurn: () => void;
  /** Called when the wait is over; the caller should retry after `returnMs`. */
  readonly onRefuse: (returnMs: number) => void;
}

/** Queues the requests of one service and dispatches them as slots are freed. */
export class ServiceQueue {
  readonly #clock: clocks.Clock;
  readonly #queue = new admission.AdmissionQueue();
  readonly #listeners = new Map<string, QueueListener>();
  #sequence = 0;
  #isProbeScheduled = false;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /**
   * Queues a request, or refuses it at once if its turn would come too late.
   *
   * @returns Removes the request from the queue without calling the listener.
   */
  enqueue(entry: QueueEntry, listener: QueueListener): () => void {
    this.#sequence += 1;
    const id = String(this.#sequence);
    const nowMs = this.#clock.getMonotonicMs();
    const result = this.#queue.enqueue({ ...entry, id }, nowMs);
    if (result.kind === "refused") {
      listener.onRefuse(result.retryAfterMs);
      return () => {};
    }
    this.#listeners.set(id, listener);
    this.#scheduleProbe();
    return () => {
      this.#queue.remove(id);
      this.#listeners.delete(id);
    };
  }

  /** Assigns the delay after which a refused caller should retry, in ms. */
  assignRetryAfterMs(): number {
    return this.#queue.scheduleRetry(this.#clock.getMonotonicMs());
  }

  /** Records that a server answered, and gives its slot to the next request. */
  recordFreedSlot(): void {
    this.#queue.recordFreedSlot(this.#clock.getMonotonicMs());
    this.#notifyNext();
  }

  #scheduleProbe(): void {
    if (this.#isProbeScheduled) return;
    this.#isProbeScheduled = true;
    this.#clock.startTimer(PROBE_INTERVAL_MS, () => {
      this.#isProbeScheduled = false;
      this.#refuseExpired();
      this.#notifyNext();
      if (this.#queue.count() > 0) this.#scheduleProbe();
    });
  }

  #refuseExpired(): void {
    const nowMs = this.#clock.getMonotonicMs();
    for (
      const { id, retryAfterMs: returnMs } of this.#queue.removeExpired(nowMs)
    ) {
      this.#takeListener(id)?.onRefuse(returnMs);
    }
  }

  #notifyNext(): void {
    const id = this.#queue.dequeue(this.#clock.getMonotonicMs());
    if (id !== undefined) this.#takeListener(id)?.onTurn();
  }

  #takeListener(id: string): QueueListener | undefined {
    const listener = this.#listeners.get(id);
    this.#listeners.delete(id);
    return listener;
  }
}
