import type * as fakeNetworks from "./fake_network_test.ts";
import type * as simulatedNodes from "./simulated_node_test.ts";

/** What faults act on, and the random source that draws them. */
export interface FaultTools {
  readonly nodes: readonly simulatedNodes.SimulatedNode[];
  readonly network: fakeNetworks.FakeNetwork;
  /** Draws an integer from 0 to `max`. */
  readonly draw: (max: number) => number;
  /** Draws whether something with a probability out of 1,000 happens. */
  readonly happens: (chance: number) => boolean;
  /** Wipes a disk, unless another wiped replica has not caught up yet; tells if so. */
  readonly wipe: (node: simulatedNodes.SimulatedNode) => boolean;
  readonly restart: (node: simulatedNodes.SimulatedNode) => void;
}

/** Chance that a leader that was elected beside another is struck. */
const SUCCESSOR_CRASH_CHANCE = 300;
/** Probability that a link of a leader is cut, out of 1,000. */
const CUT_CHANCE = 600;

/** Picks any node. */
export function pickNode(
  { nodes, draw }: FaultTools,
): simulatedNodes.SimulatedNode | undefined {
  return nodes[draw(nodes.length - 1)];
}

/** Isolates one replica, cuts one link, or restores all links. */
export function changePartition(tools: FaultTools): void {
  const { nodes, network, happens } = tools;
  const leader = nodes.find((node) => node.state?.role.kind === "leader");
  const victim = happens(500) ? leader : pickNode(tools);
  const others = nodes.filter((node) => node !== victim);
  const peers = happens(500) ? others : [pickNode(tools)];
  network.changePartition(
    victim?.config.id,
    peers.map((peer) => peer?.config.id),
  );
}

/** Lists the nodes that lead, the one of the newest term first. */
function listLeaders(
  nodes: readonly simulatedNodes.SimulatedNode[],
): readonly simulatedNodes.SimulatedNode[] {
  return nodes.filter((node) => node.state?.role.kind === "leader")
    .toSorted((a, b) => (b.state?.term ?? 0) - (a.state?.term ?? 0));
}

/** Cuts a leader from some of the other nodes. */
function cutSome(
  { nodes, network, happens }: FaultTools,
  leader: simulatedNodes.SimulatedNode,
): void {
  const peers = nodes.filter((node) => node !== leader && happens(CUT_CHANCE));
  network.changePartition(
    leader.config.id,
    peers.map((peer) => peer.config.id),
  );
}

/** Picks a node that voted for a leader in its term. */
function pickElector(
  { nodes, draw }: FaultTools,
  leader: simulatedNodes.SimulatedNode,
): simulatedNodes.SimulatedNode | undefined {
  const electors = nodes.filter((node) =>
    node !== leader && node.state?.votedFor === leader.config.id &&
    node.state.term === leader.state?.term
  );
  return electors[draw(Math.max(0, electors.length - 1))];
}

/**
 * Cuts a leader from some replicas; if another was elected meanwhile, stops it
 * and empties a voter that elected it.
 */
export function crashSuccessor(tools: FaultTools, chance: number): void {
  const { nodes, network, happens, wipe, restart } = tools;
  const [newest, former] = listLeaders(nodes);
  if (newest === undefined) return;
  if (former === undefined) {
    if (happens(chance)) cutSome(tools, newest);
    return;
  }
  if (!happens(SUCCESSOR_CRASH_CHANCE)) return;
  const elector = pickElector(tools, newest);
  if (elector === undefined || !wipe(elector)) return;
  restart(elector);
  newest.state = undefined;
  network.changePartition(undefined, []);
}
