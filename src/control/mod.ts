/**
 * Control plane: the replica that disk boxes run, the duties of its leader, and
 * the client with which every box syncs configuration and renews its lease.
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
