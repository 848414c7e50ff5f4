/** Where an item stands. */
export type TaskPhase = "waiting" | "running" | "scoring" | "done";

/** Milliseconds that an item has spent in each phase that takes time. */
export interface PhaseDurations {
  readonly waitingMs: number;
  readonly runningMs: number;
  readonly scoringMs: number;
}

/** Adds up how long an item stays in each phase, for the log of its step. */
export class PhaseTimes {
  readonly #totals = new Map<TaskPhase, number>();
  #phase: TaskPhase = "waiting";
  #sinceMs: number;

  /** @param nowMs When the first phase, waiting, begins, in monotonic ms. */
  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  getPhase(): TaskPhase {
    return this.#phase;
  }

  /** Sets the first phase of an item that need not wait. */
  begin(phase: TaskPhase): void {
    this.#phase = phase;
  }

  /** Ends the present phase and begins another. */
  enter(phase: TaskPhase, nowMs: number): void {
    const before = this.#totals.get(this.#phase) ?? 0;
    this.#totals.set(this.#phase, before + nowMs - this.#sinceMs);
    this.#phase = phase;
    this.#sinceMs = nowMs;
  }

  /** Time in the phases that have ended, in whole milliseconds. */
  describe(): PhaseDurations {
    return {
      waitingMs: this.#getTotal("waiting"),
      runningMs: this.#getTotal("running"),
      scoringMs: this.#getTotal("scoring"),
    };
  }

  #getTotal(phase: TaskPhase): number {
    return Math.round(this.#totals.get(phase) ?? 0);
  }
}
