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
  readonly #totalsMs = new Map<TaskPhase, number>();
  #phase: TaskPhase = "waiting";
  #phaseStartedAtMs: number;

  /** @param nowMs When the first phase, waiting, begins, in monotonic ms. */
  constructor(nowMs: number) {
    this.#phaseStartedAtMs = nowMs;
  }

  getPhase(): TaskPhase {
    return this.#phase;
  }

  /** Sets the first phase of an item that need not wait. */
  setInitialPhase(phase: TaskPhase): void {
    this.#phase = phase;
  }

  /** Ends the present phase and begins another. */
  enter(phase: TaskPhase, nowMs: number): void {
    const previousMs = this.#totalsMs.get(this.#phase) ?? 0;
    this.#totalsMs.set(
      this.#phase,
      previousMs + nowMs - this.#phaseStartedAtMs,
    );
    this.#phase = phase;
    this.#phaseStartedAtMs = nowMs;
  }

  /** Time in the phases that have ended, in whole milliseconds. */
  getDurations(): PhaseDurations {
    return {
      waitingMs: this.#getTotal("waiting"),
      runningMs: this.#getTotal("running"),
      scoringMs: this.#getTotal("scoring"),
    };
  }

  #getTotal(phase: TaskPhase): number {
    return Math.round(this.#totalsMs.get(phase) ?? 0);
  }
}
