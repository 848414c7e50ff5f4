import * as admission from "../admission/mod.ts";
import type * as clocks from "../clock/mod.ts";

/**
 * Between two tries for the first in line while no answer comes, in ms. Places
 * also come free by requests of other boxes, which only a try shows; 25 tries a
 * second are few beside what a full service answers.
 */
const PROBE_INTERVAL_MS = 40;

/** How long a request may wait, and before whom. */
export type QueueEntry = Omit<admission.WaitingRequest, "id">;

/** Told what became of a wait; exactly one of both is called, once. */
export interface QueueListener {
  /** A place may be free. */
  readonly onTurn: () => void;
  /** It waited in vain; when its caller should come back, in ms. */
  readonly onRefuse: (returnMs: number) => void;
}

/** Gives the requests of one service their turns as places come free. */
export class ServiceQueue {
  readonly #clock: clocks.Clock;
  readonly #queue = new admission.WaitingLine();
  readonly #listeners = new Map<string, QueueListener>();
  #sequence = 0;
  #isProbeScheduled = false;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /**
   * Waits for a place, or is refused at once where that would be in vain.
   *
   * @returns Ends the wait without a word to the listener.
   */
  enqueue(entry: QueueEntry, listener: QueueListener): () => void {
    this.#sequence += 1;
    const id = String(this.#sequence);
    const nowMs = this.#clock.getMonotonicMs();
    const result = this.#queue.enter({ ...entry, id }, nowMs);
    if (result.kind === "refused") {
      listener.onRefuse(result.returnMs);
      return () => {};
    }
    this.#listeners.set(id, listener);
    this.#scheduleProbe();
    return () => {
      this.#queue.leave(id);
      this.#listeners.delete(id);
    };
  }

  /** Gives the time after which a refused caller should come back, in ms. */
  assignRetryAfterMs(): number {
    return this.#queue.refuse(this.#clock.getMonotonicMs());
  }

  /** Notes that a server answered, so that a place at it came free. */
  recordFreedSlot(): void {
    this.#queue.noteFreed(this.#clock.getMonotonicMs());
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
    for (const { id, returnMs } of this.#queue.takeExpired(nowMs)) {
      this.#takeListener(id)?.onRefuse(returnMs);
    }
  }

  #notifyNext(): void {
    const id = this.#queue.takeNext(this.#clock.getMonotonicMs());
    if (id !== undefined) this.#takeListener(id)?.onTurn();
  }

  #takeListener(id: string): QueueListener | undefined {
    const listener = this.#listeners.get(id);
    this.#listeners.delete(id);
    return listener;
  }
}
