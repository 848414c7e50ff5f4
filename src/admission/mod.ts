/**
 * Decides how requests wait for places at backend servers, and when refused
 * callers come back. Nothing here reads a clock, holds a timer or sends.
 *
 * @example
 * ```ts
 * import * as admission from "../admission/mod.ts";
 * const line = new admission.WaitingLine();
 * const entrance = line.enter(request, nowMs);
 * ```
 * @module
 */
export * from "./slot_release_rate.ts";
export * from "./retry_schedule.ts";
export * from "./admission_queue.ts";
