import type * as clocks from "../clock/mod.ts";

/** Work that a process does in one go. */
interface Task {
  /** Processor time, in ms. */
  readonly costMs: number;
  readonly run: () => void;
}

/**
 * The process of a box on a fake clock: one thread, which does one thing after
 * the other, can be frozen, and ends without a word.
 */
export class SimulatedProcess implements clocks.Clock {
  readonly #clock: clocks.Clock;
  readonly #wallOffsetMs: () => number;
  #tasks: Task[] = [];
  #busyUntilMs = 0;
  #isWakeScheduled = false;
  #isPaused = false;
  /** Since when its machine is suspended, and how long it was before, in ms. */
  #suspendedAtMs: number | undefined;
  #suspendedMs = 0;
  #isEnded = false;

  /** @param getWallOffsetMs How far the wall clock of the box is ahead, in ms. */
  constructor(clock: clocks.Clock, getWallOffsetMs: () => number) {
    this.#clock = clock;
    this.#wallOffsetMs = getWallOffsetMs;
  }

  getWallMs(): number {
    return Math.round(this.#clock.getWallMs() + this.#wallOffsetMs());
  }

  /** Stands while the machine is suspended, unlike the wall clock. */
  getMonotonicMs(): number {
    const trueMs = this.#clock.getMonotonicMs();
    return Math.min(trueMs, this.#suspendedAtMs ?? trueMs) - this.#suspendedMs;
  }

  startTimer(delayMs: number, action: () => void): clocks.CancelTimer {
    const dueMs = this.getMonotonicMs() + delayMs;
    return this.#startTimerUntil(dueMs, action);
  }

  /** Rings at a time of its own clock, which may stand meanwhile. */
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

  /** Has something done once the processor is free. */
  addTask(costMs: number, run: () => void): void {
    if (this.#isEnded) return;
    this.#tasks.push({ costMs, run });
    this.#runTasks();
  }

  /** Uses processor time, in ms, before the next task. */
  useProcessor(ms: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + ms;
  }

  /** Stands still until it is resumed, as after SIGSTOP. */
  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.#runTasks();
  }

  /** Suspends its machine, until it is woken. */
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

  /** Ends at once, as by a loss of power. */
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
