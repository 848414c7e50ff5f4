/**
 * Usage of client accounts: counted on every box, committed to the replicated log
 * one time window at a time, and reported to the infrastructure by one box.
 *
 * @example
 * ```ts
 * import * as usages from "../usage/mod.ts";
 * const recorder = new usages.UsageRecorder(options);
 * recorder.count("north", clock.getWallMs());
 * ```
 * @module
 */
export * from "./protocol.ts";
export * from "./usage_state.ts";
export * from "./usage_reporter.ts";
export * from "./usage_totals.ts";
export * from "./usage_recorder.ts";
export * from "./usage_window.ts";
