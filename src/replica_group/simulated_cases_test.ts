import * as csp from "../csp/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as submissions from "../submission/mod.ts";
import type * as readBarriers from "./read_barrier.ts";
import * as simulatedClusters from "./simulated_cluster_test.ts";

/**
 * Time within which a box that lost its disk, or the replacement of a removed
 * box, must have caught up, in ms. After it, another disk may be lost.
 */
export const CATCH_UP_MS = 5_100;
/** Time from the removal of a box to the start of its replacement, in ms. */
export const REPLACEMENT_DELAY_MS = 2_000;

/** Speed and load of the cluster that `createCluster` starts. */
export interface CaseOptions {
  /** Ids of the boxes, the first three of which vote; four by default. */
  readonly ids?: readonly string[];
  readonly syncMs: number;
  /** Committed entries before the cluster is returned. */
  readonly entries: number;
  readonly commandsPerS: number;
  /** Size of the payload of a proposed command, in bytes. */
  readonly commandBytes?: number;
  /** Fraction of a processor that each process gets, from 0 to 1. */
  readonly processorShare?: number;
  readonly entryMs?: number;
  readonly snapshotEntries?: number;
  readonly leaseMs?: number | undefined;
}

/** Ids of the boxes by default. */
const IDS = ["a", "b", "c", "d"];

/** Number of voters that the group maintains. */
export const MAX_VOTERS = 3;

/** Longest time to elect a leader and commit the initial entries, in ms. */
const STARTUP_TIMEOUT_MS = 60_000;
/** Time under the requested load before the cluster is returned, in ms. */
const WARM_UP_MS = 4_000;
/** Rate at which the initial entries are proposed. */
const FILL_COMMANDS_PER_S = 1_000;
const START_DELAY_MS = 300;

/** Starts stores, of which three vote, and runs them under load. */
export async function createCluster(
  options: CaseOptions,
): Promise<simulatedClusters.SimulatedCluster> {
  const cluster = new simulatedClusters.SimulatedCluster({
    ids: options.ids ?? IDS,
    maxVoters: MAX_VOTERS,
    syncMs: 1,
    entryMs: 0,
    snapshotEntries: options.snapshotEntries ?? 4_096,
    commandsPerS: FILL_COMMANDS_PER_S,
    commandBytes: options.commandBytes ?? 0,
    leaseMs: options.leaseMs,
  });
  cluster.start(cluster.listIds(), START_DELAY_MS);
  await cluster.run(
    STARTUP_TIMEOUT_MS,
    () => cluster.countCommitted() >= options.entries,
  );
  cluster.commandsPerS = options.commandsPerS;
  cluster.entryMs = options.entryMs ?? 0;
  cluster.processorShare = options.processorShare ?? 1;
  cluster.setSyncMs(options.syncMs);
  await cluster.run(WARM_UP_MS);
  return cluster;
}

/**
 * Returns the ids of the leader and of the other voters.
 *
 * @throws {Error} If no store leads.
 */
export function listRoles(cluster: simulatedClusters.SimulatedCluster): {
  readonly leader: string;
  readonly followers: readonly string[];
} {
  const leader = cluster.findLeader();
  if (leader === undefined) throw new Error("the cluster has no leader");
  const voters = cluster.get(leader).getGroup()?.listVoters() ?? [];
  return { leader, followers: voters.filter((id) => id !== leader) };
}

/** Whether a leader reports the retirement of a box as completed. */
export function isRetired(
  cluster: simulatedClusters.SimulatedCluster,
  box: string,
): boolean {
  const leader = cluster.findLeader();
  if (leader === undefined) return false;
  const store = cluster.get(leader);
  const group = store.getGroup();
  if (group === undefined) return false;
  const methods = new Map<string, rpc.RpcHandler>();
  const stateMachine = store.getStateMachine();
  new submissions.SubmissionService({
    clock: cluster.clock,
    log: { write: () => {} } as never,
    server: { add: (method, handler) => void methods.set(method, handler) },
    group,
    barrier: {} as readBarriers.ReadBarrier,
    getFailureDomain: () => undefined,
    id: leader,
    stateMachine: stateMachine as unknown as submissions.SubmissionStateMachine,
    stateChanged: new csp.Signal(),
    wantedVoters: MAX_VOTERS,
    memoryGuard: { hasRoomFor: () => true },
    listStoreIds: () => cluster.listIds(),
  });
  const read = methods.get(submissions.METHODS.readRetire);
  const reply = read?.({ box } as never) as submissions.LeaderReply<
    submissions.RetireState
  >;
  return reply.kind === "done" && reply.value === "completed";
}

/** Counts the committed commands that the leader does not hold. */
export function countLostCommands(
  cluster: simulatedClusters.SimulatedCluster,
): number {
  const leader = cluster.findLeader();
  if (leader === undefined) return 0;
  const held = cluster.get(leader).getStateMachine()?.getLoadCount() ?? 0;
  return Math.max(0, cluster.countCommitted() - held);
}

/**
 * Finds a fault that no loss excuses: two leaders with authority at the same time,
 * or a leader that lacks committed commands.
 *
 * @returns A description of the fault, or undefined.
 */
export function findSafetyFault(
  cluster: simulatedClusters.SimulatedCluster,
): string | undefined {
  const leaders = cluster.listLeaders();
  if (leaders.length > 1) return `${leaders.join(" and ")} lead`;
  const lost = countLostCommands(cluster);
  return lost > 0 ? `${lost} committed commands lost` : undefined;
}
