import * as admission from "../admission/mod.ts";
import type * as clocks from "../clock/mod.ts";

/**
 * Between two tries for the first in line while no answer comes, in ms. Places
 * also come free by requests of other boxes, which only a try shows; 25 tries a
 * second are few beside what a full service answers.
 */
const PROBE_MS = 40;

/** How long a request may wait, and before whom. */
export type WaitWish = Omit<admission.QueuedRequest, "id">;

/** Told what became of a wait; exactly one of both is called, once. */
export interface WaitListener {
  /** A place may be free. */
  readonly onTurn: () => void;
  /** It waited in vain; when its caller should come back, in ms. */
  readonly onRefuse: (returnMs: number) => void;
}

/** Gives the requests of one service their turns as places come free. */
export class ServiceLine {
  readonly #clock: clocks.Clock;
  readonly #line = new admission.AdmissionQueue();
  readonly #listeners = new Map<string, WaitListener>();
  #sequence = 0;
  #isProbing = false;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /**
   * Waits for a place, or is refused at once where that would be in vain.
   *
   * @returns Ends the wait without a word to the listener.
   */
  enter(wish: WaitWish, listener: WaitListener): () => void {
    this.#sequence += 1;
    const id = String(this.#sequence);
    const nowMs = this.#clock.getMonotonicMs();
    const entrance = this.#line.enqueue({ ...wish, id }, nowMs);
    if (entrance.kind === "refused") {
      listener.onRefuse(entrance.retryAfterMs);
      return () => {};
    }
    this.#listeners.set(id, listener);
    this.#scheduleProbe();
    return () => {
      this.#line.remove(id);
      this.#listeners.delete(id);
    };
  }

  /** Gives the time after which a refused caller should come back, in ms. */
  refuse(): number {
    return this.#line.scheduleRetry(this.#clock.getMonotonicMs());
  }

  /** Notes that a server answered, so that a place at it came free. */
  noteFreed(): void {
    this.#line.recordFreedSlot(this.#clock.getMonotonicMs());
    this.#giveTurn();
  }

  #scheduleProbe(): void {
    if (this.#isProbing) return;
    this.#isProbing = true;
    this.#clock.startTimer(PROBE_MS, () => {
      this.#isProbing = false;
      this.#refuseExpired();
      this.#giveTurn();
      if (this.#line.count() > 0) this.#scheduleProbe();
    });
  }

  #refuseExpired(): void {
    const nowMs = this.#clock.getMonotonicMs();
    for (
      const { id, retryAfterMs: returnMs } of this.#line.removeExpired(nowMs)
    ) {
      this.#takeListener(id)?.onRefuse(returnMs);
    }
  }

  #giveTurn(): void {
    const id = this.#line.dequeue(this.#clock.getMonotonicMs());
    if (id !== undefined) this.#takeListener(id)?.onTurn();
  }

  #takeListener(id: string): WaitListener | undefined {
    const listener = this.#listeners.get(id);
    this.#listeners.delete(id);
    return listener;
  }
}
