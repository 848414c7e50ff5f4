/**
 * A replica group over the boxes of a deployment: bootstrapped once through seed
 * boxes, with voters that are replaced as boxes fail, join and leave.
 *
 * @example
 * ```ts
 * import * as replicaGroups from "../replica_group/mod.ts";
 * const group = new replicaGroups.ReplicaGroup({ name: "core", ...options });
 * await group.start();
 * ```
 * @module
 */
export * from "./bootstrap_service.ts";
export * from "./create_founding_member.ts";
export * from "./describe_shortfall.ts";
export * from "./leader_caller.ts";
export * from "./not_leader.ts";
export * from "./plan_voters.ts";
export * from "./read_barrier.ts";
export * from "./replica_group.ts";
