import * as perfHooks from "node:perf_hooks";
import type * as clocks from "./clock.ts";

/** The clock of the operating system. */
export class SystemClock implements clocks.Clock {
  getWallMs(): number {
    return Date.now();
  }

  getMonotonicMs(): number {
    return perfHooks.performance.now();
  }

  startTimer(delayMs: number, action: () => void): clocks.CancelTimer {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  }
}
