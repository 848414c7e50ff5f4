/**
 * Admission control: queues requests for slots at backend servers, assigns retry
 * times to refused callers, and decides which requests a stopping box still
 * serves. Nothing here reads a clock, starts a timer or does I/O.
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
export * from "./duration_estimates.ts";
export * from "./retry_schedule.ts";
export * from "./slot_release_rate.ts";
export * from "./stop_admission.ts";
