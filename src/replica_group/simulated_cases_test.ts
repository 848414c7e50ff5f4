import * as csp from "../csp/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as submissions from "../submission/mod.ts";
import type * as readBarriers from "./read_barrier.ts";
import * as simulatedStores from "./simulated_stores_test.ts";

/**
 * Time after which a box that lost its disk, or the successor of one that is
 * gone, counts as whole, in ms: from then on the next disk may be lost.
 */
export const CATCH_UP_MS = 5_100;
/** Time after which the successor of a box that is gone starts, in ms. */
export const SUCCESSOR_MS = 2_000;

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
export const WANTED = 3;

const FOUNDED_MS = 60_000;
/** Time under the load of the case before the first fault, in ms. */
const SETTLED_MS = 4_000;
const FAST_COMMANDS_PER_S = 1_000;
const START_MS = 300;

/** Makes four stores, three voters wanted, that have run for a while. */
export async function createStores(
  options: CaseOptions,
): Promise<simulatedStores.SimulatedStores> {
  const stores = new simulatedStores.SimulatedStores({
    ids: ["a", "b", "c", "d"],
    wanted: WANTED,
    syncMs: 1,
    entryMs: 0,
    snapshotEntries: options.snapshotEntries ?? 4_096,
    commandsPerS: FAST_COMMANDS_PER_S,
    leaseMs: options.leaseMs,
  });
  stores.start(stores.listIds(), START_MS);
  await stores.run(
    FOUNDED_MS,
    () => stores.countCommitted() >= options.entries,
  );
  stores.commandsPerS = options.commandsPerS;
  stores.entryMs = options.entryMs ?? 0;
  stores.setSync(options.syncMs);
  await stores.run(SETTLED_MS);
  return stores;
}

/** Ids of the leader and of the other voters. */
export function listRoles(stores: simulatedStores.SimulatedStores): {
  readonly leader: string;
  readonly followers: readonly string[];
} {
  const leader = stores.findLeader();
  if (leader === undefined) throw new Error("no store leads");
  const voters = stores.get(leader).getGroup()?.listVoters() ?? [];
  return { leader, followers: voters.filter((id) => id !== leader) };
}

/** Whether the leader, if there is one, tells that a box is emptied. */
export function isEmptied(
  stores: simulatedStores.SimulatedStores,
  box: string,
): boolean {
  const leader = stores.findLeader();
  if (leader === undefined) return false;
  const store = stores.get(leader);
  const group = store.getGroup();
  if (group === undefined) return false;
  const methods = new Map<string, rpc.RpcHandler>();
  const machine = store.getMachine();
  new submissions.SubmissionService({
    clock: stores.clock,
    log: { write: () => {} } as never,
    server: { add: (method, handler) => void methods.set(method, handler) },
    group,
    barrier: {} as readBarriers.ReadBarrier,
    getFailureDomain: () => undefined,
    id: leader,
    stateMachine: machine as unknown as submissions.SubmissionStateMachine,
    stateChanged: new csp.Signal(),
    wantedVoters: WANTED,
    listStoreIds: () => stores.listIds(),
  });
  const read = methods.get(submissions.METHODS.readRetire);
  const reply = read?.({ box } as never) as submissions.LeaderReply<
    submissions.RetireState
  >;
  return reply.kind === "done" && reply.value === "completed";
}
