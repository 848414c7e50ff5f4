import type * as fakeNetworks from "./fake_network_test.ts";
import * as leaderLeases from "./leader_lease.ts";
import * as savedRecords from "./_saved_record.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import type * as replicaStates from "./replica_state.ts";

/** Options of a simulated schedule of events and faults. */
export interface ScheduleOptions extends fakeNetworks.NetworkOptions {
  readonly seed: number;
  readonly replicas: number;
  /** Number of rounds, each 10 ms long. */
  readonly rounds: number;
  /**
   * This and the other chances are probabilities per round, or per message on the
   * network, out of 1,000.
   */
  readonly crashChance: number;
  readonly partitionChance: number;
  readonly compactChance: number;
  readonly transferChance: number;
  /** Probability that a crashed replica restarts with an empty disk. */
  readonly wipeChance: number;
  /** Probability that the clock was stepped back when a disk is wiped. */
  readonly clockStepChance: number;
  /** Replicas beside the initial voters; they start with empty disks. */
  readonly extraReplicas: number;
  /** Probability that a leader proposes to add or remove a voter. */
  readonly membershipChance: number;
  /** Probability that a leader replaces emptied voters in one step; 0 by default. */
  readonly replaceChance?: number;
  /**
   * Probability that a leader that was elected beside another loses its power, and a
   * voter that elected it its disk; also of a cut into halves. 0 by default.
   */
  readonly successorChance?: number;
  /** Probability that the box of a replica is suspended, higher for leaders. */
  readonly suspendChance: number;
  /** Whether leaders count replies from before a suspension; an injected bug. */
  readonly ignoresSuspension?: boolean;
}

/** Totals of a simulated schedule. */
export interface ScheduleResult {
  /** Committed entries. */
  readonly committed: number;
  /** Terms that had a leader. */
  readonly leaders: number;
  /** Committed replica sets, including the initial one. */
  readonly committedSets: number;
}

/** Durable state of a replica. */
export interface Disk {
  readonly snapshot: messages.Snapshot | undefined;
  readonly records: readonly savedRecords.SavedRecord[];
}

/** A simulated replica with its disk, clock and applied entries. */
export interface SimulatedNode {
  readonly config: replicaStates.ReplicaConfig;
  /** Speed of its clock relative to simulated time. */
  readonly clockRate: number;
  disk: Disk;
  /** Simulated time until which its box is suspended, in ms. */
  suspendedUntilMs: number;
  /** Total time that it was suspended, in ms; its clock stood still meanwhile. */
  totalSuspendedMs: number;
  /** Time of its last resumption by its own clock, in ms. */
  resumedAtMs: number;
  /** Last committed index of the group when its disk was last wiped. */
  wipedAtIndex: number;
  /** Undefined while it is crashed. */
  state: replicaStates.ReplicaState | undefined;
  appliedIndex: number;
  appliedTerm: number;
  /** Applied entries as `term:command`, with the command in JSON. */
  applied: readonly string[];
}

/** Creates the disk of a replica that must catch up before it is admitted. */
export function createEmptyDisk(incarnation: number): Disk {
  const identity = { incarnation, isAdmitted: false };
  return { snapshot: undefined, records: [{ kind: "identity", identity }] };
}

/** Options to create a simulated replica. */
export interface NodeOptions {
  readonly config: replicaStates.ReplicaConfig;
  readonly clockRate: number;
  readonly initialVoters: readonly string[];
}

/** Creates a stopped replica, with an empty disk unless it is an initial voter. */
export function createNode(options: NodeOptions): SimulatedNode {
  const { config, clockRate, initialVoters } = options;
  return {
    config,
    clockRate,
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

/** Finds the voters as of the last applied entry; undefined while crashed. */
export function findVoters(
  node: SimulatedNode,
): readonly string[] | undefined {
  if (node.state === undefined) return undefined;
  return replicaSets.findReplicaSet(node.state.log, node.appliedIndex)?.voters;
}

/** Converts simulated time to the clock of a replica, in ms. */
export function getLocalMs(node: SimulatedNode, nowMs: number): number {
  return (nowMs - node.totalSuspendedMs) * node.clockRate;
}

/**
 * Suspends the box of a replica. Messages and ticks are dropped meanwhile. Has no
 * effect if it is suspended already.
 */
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

/** Whether a replica has authority, or would have it if it resumed now. */
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

/** Creates a snapshot of what a node has applied. */
export function createSnapshot(node: SimulatedNode): messages.Snapshot {
  return {
    index: node.appliedIndex,
    term: node.appliedTerm,
    state: node.applied,
    voters: findVoters(node),
  };
}

/** Replaces the entries that a node has applied by a snapshot. */
export function compact(node: SimulatedNode): void {
  if (
    node.state === undefined ||
    node.appliedIndex <= node.state.log.snapshotIndex
  ) return;
  node.disk = {
    snapshot: createSnapshot(node),
    records: savedRecords.createRecordsAfter(node.state, node.appliedIndex),
  };
  node.state = {
    ...node.state,
    log: replicaLogs.compactLog(node.state.log, node.appliedIndex),
  };
}
