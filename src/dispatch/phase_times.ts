/** Phase of an item's processing. */
export type TaskPhase = "waiting" | "running" | "scoring" | "done";

/** Time that an item has spent in each phase before it was done, in ms. */
export interface PhaseDurations {
  readonly waitingMs: number;
  readonly runningMs: number;
  readonly scoringMs: number;
}

/** Tracks an item's phase and the total time spent in each. */
export class PhaseTimes {
  readonly #totalsMs = new Map<TaskPhase, number>();
  #phase: TaskPhase = "waiting";
  #phaseStartedAtMs: number;

  /** @param nowMs When the initial waiting phase begins, in monotonic ms. */
  constructor(nowMs: number) {
    this.#phaseStartedAtMs = nowMs;
  }

  getPhase(): TaskPhase {
    return this.#phase;
  }

  /** Replaces the initial waiting phase, without recording a duration. */
  setInitialPhase(phase: TaskPhase): void {
    this.#phase = phase;
  }

  /** Ends the current phase and enters another at a monotonic time in ms. */
  enter(phase: TaskPhase, nowMs: number): void {
    const previousMs = this.#totalsMs.get(this.#phase) ?? 0;
    this.#totalsMs.set(
      this.#phase,
      previousMs + nowMs - this.#phaseStartedAtMs,
    );
    this.#phase = phase;
    this.#phaseStartedAtMs = nowMs;
  }

  /** Returns the total durations of ended phases, in whole milliseconds. */
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
