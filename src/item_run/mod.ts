/**
 * Runs of items at engines, each going on where the last one broke off.
 *
 * @example
 * ```ts
 * import * as itemRuns from "../item_run/mod.ts";
 * const end = await itemRuns.runItem(options);
 * ```
 * @module
 */
export * from "./run_item.ts";
export * from "./text_progress.ts";
