import type * as clocks from "../clock/mod.ts";

/** Work that a process runs without interruption. */
interface Task {
  /** Processor time, in ms. */
  readonly costMs: number;
  readonly run: () => void;
}

/**
 * A single-threaded process on a fake clock. It can be paused, be suspended
 * with its box, and end without a clean shutdown.
 */
export class SimulatedProcess implements clocks.Clock {
  readonly #clock: clocks.Clock;
  readonly #wallOffsetMs: () => number;
  #tasks: Task[] = [];
  #busyUntilMs = 0;
  #isWakeScheduled = false;
  #isPaused = false;
  /** Start of the current suspension, by the clock of the simulation. */
  #suspendedAtMs: number | undefined;
  /** Total time of earlier suspensions, in ms. */
  #suspendedMs = 0;
  #isEnded = false;

  /** @param getWallOffsetMs Returns the offset of the wall clock, in ms. */
  constructor(clock: clocks.Clock, getWallOffsetMs: () => number) {
    this.#clock = clock;
    this.#wallOffsetMs = getWallOffsetMs;
  }

  getWallMs(): number {
    return Math.round(this.#clock.getWallMs() + this.#wallOffsetMs());
  }

  /** Stops while the box is suspended, unlike the wall clock. */
  getMonotonicMs(): number {
    const trueMs = this.#clock.getMonotonicMs();
    return Math.min(trueMs, this.#suspendedAtMs ?? trueMs) - this.#suspendedMs;
  }

  startTimer(delayMs: number, action: () => void): clocks.CancelTimer {
    const dueMs = this.getMonotonicMs() + delayMs;
    return this.#startTimerUntil(dueMs, action);
  }

  /** Fires at a time of its own monotonic clock, which may stop meanwhile. */
  #startTimerUntil(dueMs: number, action: () => void): clocks.CancelTimer {
    let isCancelled = false;
    let cancel: clocks.CancelTimer = () => {};
    const delayMs = Math.ceil(dueMs - this.getMonotonicMs());
    const cancelThis = this.#clock.startTimer(
      delayMs,
      () =>
        this.addTask(0, () => {
          if (isCancelled) return;
          if (this.getMonotonicMs() >= dueMs) return action();
          cancel = this.#startTimerUntil(dueMs, action);
        }),
    );
    return () => {
      isCancelled = true;
      cancelThis();
      cancel();
    };
  }

  /** Runs a task once the processor is free. */
  addTask(costMs: number, run: () => void): void {
    if (this.#isEnded) return;
    this.#tasks.push({ costMs, run });
    this.#runTasks();
  }

  /** Occupies the processor for a time, in ms, before the next task. */
  useProcessor(ms: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + ms;
  }

  /** Stops running tasks until `resume`, as after SIGSTOP. */
  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.#runTasks();
  }

  /** Suspends the box until `wake`; its monotonic clock stops. */
  suspend(): void {
    this.pause();
    this.#suspendedAtMs = this.#clock.getMonotonicMs();
  }

  wake(): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#suspendedMs += nowMs - (this.#suspendedAtMs ?? nowMs);
    this.#suspendedAtMs = undefined;
    this.resume();
  }

  isPaused(): boolean {
    return this.#isPaused;
  }

  isEnded(): boolean {
    return this.#isEnded;
  }

  /** Ends without a clean shutdown, as after a power loss. */
  end(): void {
    this.#isEnded = true;
    this.#tasks = [];
  }

  #runTasks(): void {
    const nowMs = this.#clock.getMonotonicMs();
    while (!this.#isEnded && !this.#isPaused && this.#busyUntilMs <= nowMs) {
      const task = this.#tasks.shift();
      if (task === undefined) return;
      if (task.costMs > 0) this.useProcessor(task.costMs);
      task.run();
    }
    if (this.#tasks.length > 0) this.#scheduleWake(nowMs);
  }

  #scheduleWake(nowMs: number): void {
    if (this.#isWakeScheduled || this.#isPaused) return;
    this.#isWakeScheduled = true;
    const delayMs = Math.max(1, Math.ceil(this.#busyUntilMs - nowMs));
    this.#clock.startTimer(delayMs, () => {
      this.#isWakeScheduled = false;
      this.#runTasks();
    });
  }
}
