/**
 * Usage of client accounts: counted by every box, agreed on by window, reported
 * by one box at a time.
 *
 * @example
 * ```ts
 * import * as usages from "../usage/mod.ts";
 * const teller = new usages.UsageTeller(options);
 * teller.count("north", clock.getWallMs());
 * ```
 * @module
 */
export * from "./protocol.ts";
export * from "./usage_state.ts";
export * from "./usage_reporter.ts";
export * from "./usage_totals.ts";
export * from "./usage_recorder.ts";
export * from "./usage_window.ts";
