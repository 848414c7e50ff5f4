import type * as fakeNetworks from "./fake_network_test.ts";
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
  readonly cutChance: number;
  readonly compactChance: number;
  readonly transferChance: number;
  /** Chance that a crashed replica comes back with an empty disk. */
  readonly wipeChance: number;
  /** Chance that the clock was stepped back before a disk came back empty. */
  readonly clockStepChance: number;
  /** Replicas beside the founding ones, which begin with empty disks. */
  readonly spares: number;
  /** Chance that a leader tries to add or remove a voter. */
  readonly memberChance: number;
}

/** What a schedule brought about. */
export interface ScheduleResult {
  readonly committed: number;
  readonly leaders: number;
  /** Replica sets that were committed, the founding one among them. */
  readonly sets: number;
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
  readonly rate: number;
  disk: Disk;
  /** Highest committed index when its disk was emptied last. */
  wipedAt: number;
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
  readonly rate: number;
  readonly founders: readonly string[];
}

/**
 * Makes a replica with the disk of a founder, or with an empty one.
 *
 * @param options The replica.
 * @returns A replica that has not started.
 */
export function createNode(options: NodeOptions): SimulatedNode {
  const { config, rate, founders } = options;
  return {
    config,
    rate,
    disk: founders.includes(config.id)
      ? {
        snapshot: undefined,
        records: savedRecords.createFounding(founders, 0),
      }
      : createEmptyDisk(0),
    wipedAt: 0,
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
