/**
 * Admission control: queues requests for slots at backend servers and assigns
 * retry times to refused callers. Nothing here reads a clock, starts a timer or
 * does I/O.
 *
 * @example
 * ```ts
 * import * as admission from "../admission/mod.ts";
 * const queue = new admission.AdmissionQueue();
 * const result = queue.enqueue(request, nowMs);
 * ```
 * @module
 */
export * from "./admission_queue.ts";
export * from "./retry_schedule.ts";
export * from "./slot_release_rate.ts";
