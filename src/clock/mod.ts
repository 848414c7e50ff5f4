/**
 * Clocks and timers in milliseconds, with a fake clock for tests.
 *
 * @example
 * ```ts
 * import * as clocks from "../clock/mod.ts";
 * const clock = new clocks.SystemClock();
 * clock.getMonotonicMs();
 * ```
 * @module
 */
export * from "./busy_monitor.ts";
export * from "./clock.ts";
export * from "./fake_clock.ts";
export * from "./coalesced_call.ts";
export * from "./sleep.ts";
export * from "./suspension_detector.ts";
export * from "./system_clock.ts";
