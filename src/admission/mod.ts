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
export * from "./place_rate.ts";
export * from "./return_times.ts";
export * from "./waiting_line.ts";
