import * as perfHooks from "node:perf_hooks";

/** Weight of the newest sample in the moving average. */
const NEWEST_WEIGHT = 0.5;

/** Times that an event loop has spent so far, in ms. */
export interface LoopTimes {
  /** Time spent in callbacks, also while they waited for the processor. */
  readonly activeMs: number;
  /** Time spent waiting for events. */
  readonly idleMs: number;
}

/**
 * Measures for which share of the time the event loop is busy. Where the processor
 * is short, callbacks take longer, so the share tells how much room is left on
 * boxes of any speed.
 */
export class BusyMonitor {
  readonly #readTimes: () => LoopTimes;
  #last: LoopTimes;
  #busyShare = 0;

  /** @param readTimes Reads the times of the loop; of this thread by default. */
  constructor(readTimes: () => LoopTimes = readLoopTimes) {
    this.#readTimes = readTimes;
    this.#last = readTimes();
  }

  /** Takes a sample of the time since the one before. */
  takeSample(): void {
    const times = this.#readTimes();
    const activeMs = times.activeMs - this.#last.activeMs;
    const totalMs = activeMs + times.idleMs - this.#last.idleMs;
    this.#last = times;
    if (totalMs <= 0) return;
    const newest = activeMs / totalMs;
    this.#busyShare += NEWEST_WEIGHT * (newest - this.#busyShare);
  }

  /** Returns a moving average of the busy share, from 0 to 1. */
  getBusyShare(): number {
    return this.#busyShare;
  }
}

function readLoopTimes(): LoopTimes {
  const { active, idle } = perfHooks.performance.eventLoopUtilization();
  return { activeMs: active, idleMs: idle };
}
