/**
 * Control: the replica of a disk box, the leader's duties, and the client by
 * which every box stays current and under lease.
 *
 * @example
 * ```ts
 * import * as control from "../control/mod.ts";
 * const client = new control.ControlClient({ settings, clock, log });
 * client.start();
 * ```
 * @module
 */
export * from "./control_client.ts";
export * from "./control_service.ts";
export * from "./control_view.ts";
export * from "./leader_duties.ts";
export * from "./protocol.ts";
