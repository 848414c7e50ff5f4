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

  /** Time in the phases that have ended. */
  describe(): PhaseDurations {
    return {
      waitingMs: this.#totals.get("waiting") ?? 0,
      runningMs: this.#totals.get("running") ?? 0,
      scoringMs: this.#totals.get("scoring") ?? 0,
    };
  }
}
