/**
 * Lease on the duties towards servers and the infrastructure, which at most one
 * box carries out at a time.
 *
 * @example
 * ```ts
 * import * as duties from "../duty/mod.ts";
 * const lease = new duties.DutyLease(options);
 * lease.start();
 * if (lease.canAct()) send(lease.getFence());
 * ```
 * @module
 */
export * from "./duty_client.ts";
export * from "./duty_lease.ts";
export * from "./plan_handover.ts";
