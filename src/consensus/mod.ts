/**
 * Raft consensus between boxes with a disk: a replicated log with at most one
 * leader per term, pre-votes, leader leases and single-voter changes.
 *
 * @example
 * ```ts
 * import * as consensus from "../consensus/mod.ts";
 * const driver = await consensus.ReplicaDriver.open(options);
 * await driver.propose({ kind: "noOperation" }, 1_000);
 * ```
 * @module
 */
export { estimateBytes } from "./_entry_size.ts";
export * from "./initialize_data_folder.ts";
export * from "./leader_lease.ts";
export * from "./message.ts";
export * from "./replica_driver.ts";
export * from "./replica_log.ts";
export * from "./replica_notice.ts";
export * from "./replica_options.ts";
export * from "./replica_set.ts";
export * from "./replica_state.ts";
export * from "./replica_status.ts";
export * from "./state_machine.ts";
export * from "./step_replica.ts";
