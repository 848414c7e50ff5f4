/**
 * Runs items on engines; a further run resumes where the previous one broke off.
 *
 * @example
 * ```ts
 * import * as itemRuns from "../item_run/mod.ts";
 * const outcome = await itemRuns.runItem(options);
 * ```
 * @module
 */
export * from "./run_item.ts";
export * from "./score_item.ts";
export * from "./text_progress.ts";
