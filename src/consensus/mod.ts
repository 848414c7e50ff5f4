/**
 * Consensus of the boxes with a disk: one log, one leader a term.
 *
 * @example
 * ```ts
 * import * as consensus from "../consensus/mod.ts";
 * const driver = await consensus.ReplicaDriver.open(options);
 * await driver.propose({ kind: "noOperation" }, 1_000);
 * ```
 * @module
 */
export * from "./leader_lease.ts";
export * from "./state_machine.ts";
export * from "./initialize_data_folder.ts";
export * from "./message.ts";
export * from "./replica_driver.ts";
export * from "./replica_log.ts";
export * from "./replica_notice.ts";
export * from "./replica_options.ts";
export * from "./replica_set.ts";
export * from "./replica_state.ts";
export * from "./replica_status.ts";
export * from "./step_replica.ts";
