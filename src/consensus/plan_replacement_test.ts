import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/**
 * Plans the replacement of all emptied voters by admitted learners in one step.
 *
 * @param state The leader.
 * @param nowMs Its monotonic time, in ms.
 * @param wanted Number of voters to aim for.
 * @returns The voters after it; undefined if there is nobody to replace, or to take
 * a place.
 */
export function planReplacement(
  state: replicaStates.ReplicaState,
  nowMs: number,
  wanted: number,
): readonly string[] | undefined {
  const voters = replicaStates.listVoters(state);
  const { followers } = replicaStatuses.describeReplica(state, nowMs);
  const kept = voters.filter((id) =>
    !followers.some((other) => other.id === id && other.isReplaceable)
  );
  const spares = followers.filter(({ id, isAdmitted }) =>
    isAdmitted && !voters.includes(id)
  ).map(({ id }) => id);
  const added = spares.slice(0, wanted - kept.length);
  if (added.length === 0 || kept.length === voters.length) return undefined;
  return [...kept, ...added];
}
