/**
 * Duties that exactly one box at a time has towards servers and the
 * infrastructure.
 *
 * @example
 * ```ts
 * import * as duties from "../duty/mod.ts";
 * const holder = new duties.DutyHolder(options);
 * holder.start();
 * if (holder.canAct()) send(holder.getFence());
 * ```
 * @module
 */
export * from "./duty_client.ts";
export * from "./duty_lease.ts";
export * from "./plan_handover.ts";
