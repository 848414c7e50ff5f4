import type * as fakeNetworks from "./fake_network_test.ts";
import * as leaderLeases from "./leader_lease.ts";
import * as savedRecords from "./_saved_record.ts";
import type * as messages from "./message.ts";
import * as replicaSets from "./replica_set.ts";
import type * as replicaStates from "./replica_state.ts";

/** What a schedule may do to the replicas. */
export interface ScheduleOptions extends fakeNetworks.NetworkOptions {
  readonly seed: number;
  readonly replicas: number;
  /** Rounds of 10 ms. */
  readonly rounds: number;
  /** Chances a round or a message, out of 1,000. */
  readonly crashChance: number;
  readonly partitionChance: number;
  readonly compactChance: number;
  readonly transferChance: number;
  /** Chance that a crashed replica comes back with an empty disk. */
  readonly wipeChance: number;
  /** Chance that the clock was stepped back before a disk came back empty. */
  readonly clockStepChance: number;
  /** Replicas beside the founding ones, which begin with empty disks. */
  readonly extraReplicas: number;
  /** Chance that a leader tries to add or remove a voter. */
  readonly membershipChance: number;
  /** Chance that a replica's machine is suspended; leaders' more often. */
  readonly suspendChance: number;
  /** Whether leaders hold on to answers from before; a planted fault. */
  readonly ignoresSuspension?: boolean;
}

/** What a schedule brought about. */
export interface ScheduleResult {
  readonly committed: number;
  readonly leaders: number;
  /** Replica sets that were committed, the founding one among them. */
  readonly committedSets: number;
}

/** What a replica's disk holds. */
export interface Disk {
  readonly snapshot: messages.Snapshot | undefined;
  readonly records: readonly savedRecords.SavedRecord[];
}

/** A replica with its disk and what it applied. */
export interface SimulatedNode {
  readonly config: replicaStates.ReplicaConfig;
  /** Ticks of its clock for each tick of true time. */
  readonly clockRate: number;
  disk: Disk;
  /** True time until which its machine is suspended, in ms. */
  suspendedUntilMs: number;
  /** How long it was suspended so far; its clock lacks as much, in ms. */
  totalSuspendedMs: number;
  /** When it woke last, by its clock. */
  resumedAtMs: number;
  /** Highest committed index when its disk was emptied last. */
  wipedAtIndex: number;
  state: replicaStates.ReplicaState | undefined;
  appliedIndex: number;
  appliedTerm: number;
  applied: readonly string[];
}

/** Makes the disk of a replica that must catch up before it counts. */
export function createEmptyDisk(incarnation: number): Disk {
  const identity = { incarnation, isAdmitted: false };
  return { snapshot: undefined, records: [{ kind: "identity", identity }] };
}

/** How a replica begins. */
export interface NodeOptions {
  readonly config: replicaStates.ReplicaConfig;
  readonly clockRate: number;
  readonly initialVoters: readonly string[];
}

/**
 * Makes a replica with the disk of a founder, or with an empty one.
 *
 * @param options The replica.
 * @returns A replica that has not started.
 */
export function createNode(options: NodeOptions): SimulatedNode {
  const { config, clockRate: clockRate, initialVoters: initialVoters } =
    options;
  return {
    config,
    clockRate: clockRate,
    disk: initialVoters.includes(config.id)
      ? {
        snapshot: undefined,
        records: savedRecords.createBootstrapRecords(initialVoters, 0),
      }
      : createEmptyDisk(0),
    suspendedUntilMs: 0,
    totalSuspendedMs: 0,
    resumedAtMs: leaderLeases.NEVER_SUSPENDED,
    wipedAtIndex: 0,
    state: undefined,
    appliedIndex: 0,
    appliedTerm: 0,
    applied: [],
  };
}

/** Voters after the last entry that a running replica applied. */
export function findVoters(
  node: SimulatedNode,
): readonly string[] | undefined {
  if (node.state === undefined) return undefined;
  return replicaSets.findReplicaSet(node.state.log, node.appliedIndex)?.voters;
}

/** Time by the clock of a replica, which stands while it is suspended. */
export function getLocalMs(node: SimulatedNode, nowMs: number): number {
  return (nowMs - node.totalSuspendedMs) * node.clockRate;
}

/** Suspends the machine of a replica; it hears and does nothing meanwhile. */
export function suspend(
  node: SimulatedNode,
  nowMs: number,
  durationMs: number,
): void {
  if (node.suspendedUntilMs > nowMs) return;
  node.suspendedUntilMs = nowMs + durationMs;
  node.totalSuspendedMs += durationMs;
  node.resumedAtMs = nowMs * node.clockRate -
    (node.totalSuspendedMs - durationMs) * node.clockRate;
}

export function isSuspended(node: SimulatedNode, nowMs: number): boolean {
  return node.suspendedUntilMs > nowMs;
}

/** Whether a replica has authority, or would have if it woke now. */
export function hasAuthority(
  node: SimulatedNode,
  nowMs: number,
  ignoresSuspension: boolean,
): boolean {
  if (node.state === undefined) return false;
  const localMs = isSuspended(node, nowMs)
    ? node.resumedAtMs
    : getLocalMs(node, nowMs);
  const resumedAtMs = ignoresSuspension
    ? leaderLeases.NEVER_SUSPENDED
    : node.resumedAtMs;
  return leaderLeases.hasAuthority(node.state, localMs, resumedAtMs);
}
