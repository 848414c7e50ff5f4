import * as csp from "../csp/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as submissions from "../submission/mod.ts";
import type * as readBarriers from "./read_barrier.ts";
import * as simulatedClusters from "./simulated_cluster_test.ts";

/**
 * Time after which a box that lost its disk, or the successor of one that is
 * gone, counts as whole, in ms: from then on the next disk may be lost.
 */
export const CATCH_UP_MS = 5_100;
/** Time after which the successor of a box that is gone starts, in ms. */
export const REPLACEMENT_DELAY_MS = 2_000;

/** What a case begins with. */
export interface CaseOptions {
  readonly syncMs: number;
  /** Entries in the log before the first fault. */
  readonly entries: number;
  readonly commandsPerS: number;
  readonly entryMs?: number;
  readonly snapshotEntries?: number;
  readonly leaseMs?: number | undefined;
}

/** Voters that there should be. */
export const MAX_VOTERS = 3;

const STARTUP_TIMEOUT_MS = 60_000;
/** Time under the load of the case before the first fault, in ms. */
const WARM_UP_MS = 4_000;
const FILL_COMMANDS_PER_S = 1_000;
const START_DELAY_MS = 300;

/** Makes four stores, three voters wanted, that have run for a while. */
export async function createCluster(
  options: CaseOptions,
): Promise<simulatedClusters.SimulatedCluster> {
  const cluster = new simulatedClusters.SimulatedCluster({
    ids: ["a", "b", "c", "d"],
    maxVoters: MAX_VOTERS,
    syncMs: 1,
    entryMs: 0,
    snapshotEntries: options.snapshotEntries ?? 4_096,
    commandsPerS: FILL_COMMANDS_PER_S,
    leaseMs: options.leaseMs,
  });
  cluster.start(cluster.listIds(), START_DELAY_MS);
  await cluster.run(
    STARTUP_TIMEOUT_MS,
    () => cluster.countCommitted() >= options.entries,
  );
  cluster.commandsPerS = options.commandsPerS;
  cluster.entryMs = options.entryMs ?? 0;
  cluster.setSyncMs(options.syncMs);
  await cluster.run(WARM_UP_MS);
  return cluster;
}

/** Ids of the leader and of the other voters. */
export function listRoles(cluster: simulatedClusters.SimulatedCluster): {
  readonly leader: string;
  readonly followers: readonly string[];
} {
  const leader = cluster.findLeader();
  if (leader === undefined) throw new Error("no store leads");
  const voters = cluster.get(leader).getGroup()?.listVoters() ?? [];
  return { leader, followers: voters.filter((id) => id !== leader) };
}

/** Whether the leader, if there is one, tells that a box is emptied. */
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
    listStoreIds: () => cluster.listIds(),
  });
  const read = methods.get(submissions.METHODS.readRetire);
  const reply = read?.({ box } as never) as submissions.LeaderReply<
    submissions.RetireState
  >;
  return reply.kind === "done" && reply.value === "completed";
}
