import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Longest candidacy, in election timeouts: the longest delay until a candidate gives
 * up the votes that it has, and a tenth for clocks of different rates.
 */
const MAX_CANDIDACY_TIMEOUTS = 2.2;

/**
 * Decides whether a message may admit a follower that lost its disk to quorums.
 * The leader must have committed an entry of its term and be confirmed since the
 * follower was heard: a leader that was deposed meanwhile could otherwise form a
 * quorum with the emptied replica.
 * The message must reach up to all that is committed and to the newest replica
 * set, since an admitted replica votes by the set in its log. A follower that is
 * far behind is told only once it is near, so that it is known not to vote.
 *
 * @param state The leader.
 * @param to The follower.
 * @param progress Its progress.
 * @param lastIndex Last index that the follower holds after the message.
 * @returns Whether the message admits it.
 */
export function canAdmit(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  lastIndex: number,
): boolean {
  const { identity, matchIndex, heardAtMs } = progress;
  if (identity.isAdmitted || heardAtMs === undefined) return false;
  if (!replicaStates.isEstablished(state)) return false;
  const lag = state.commitIndex - matchIndex;
  if (lag > replicaStates.MAX_CAUGHT_UP_LAG_ENTRIES) return false;
  const setIndex = replicaSets.findReplicaSet(state.log)?.index ?? 0;
  if (lastIndex < Math.max(state.commitIndex, setIndex)) return false;
  return isConfirmed(state, [to], heardAtMs);
}

/**
 * Reports whether no leader of a later term can have been elected with the votes
 * that emptied replicas gave before they lost their disks. Whoever asked for these is
 * in a later term and does not confirm this leader: so either all other voters have
 * acknowledged a request sent after the replicas were heard, or a quorum has
 * acknowledged one sent once the longest candidacy since is over.
 */
function isConfirmed(
  state: replicaStates.ReplicaState,
  emptied: readonly string[],
  heardAtMs: number,
): boolean {
  const { role, config } = state;
  if (role.kind !== "leader") return false;
  const others = replicaStates.listOtherVoters(state).filter((id) =>
    !emptied.includes(id)
  );
  function countSince(sinceMs: number): number {
    return others.filter((id) => {
      const progress = role.kind === "leader" && role.progress.get(id);
      return progress && progress.identity.isAdmitted &&
        progress.lastAckedSentAtMs > sinceMs;
    }).length;
  }
  const own = replicaStates.isVoter(state) ? 1 : 0;
  const quorumSize = replicaStates.getQuorumSize(state);
  const isConfirmedByAll = countSince(heardAtMs) === others.length;
  if (isConfirmedByAll && others.length + own >= quorumSize) return true;
  const overAtMs = heardAtMs +
    config.electionTimeoutMs * MAX_CANDIDACY_TIMEOUTS;
  return countSince(overAtMs) + own >= quorumSize;
}

/**
 * Reports whether a follower neither votes nor counts in a quorum before this leader
 * admits it: it answered in this term that it is not admitted, and was sent no
 * message that could admit it. What its former life voted for may still count.
 */
function isVoteless(
  admitting: ReadonlyMap<string, number>,
  id: string,
  { identity, heardAtMs }: replicaStates.Progress,
): boolean {
  return heardAtMs !== undefined && !identity.isAdmitted &&
    admitting.get(id) !== identity.incarnation;
}

/**
 * Lists the voters that lost their disks and can be replaced in one step: they are
 * voteless, and no leader can have been elected with their former votes.
 *
 * @param state The leader.
 * @returns Their ids.
 */
export function listReplaceable(
  state: replicaStates.ReplicaState,
): readonly string[] {
  const { role } = state;
  if (role.kind !== "leader") return [];
  const { progress, admitting } = role;
  const voteless = replicaStates.listOtherVoters(state).filter((id) => {
    const item = progress.get(id);
    return item !== undefined && isVoteless(admitting, id, item);
  });
  const heardAtMs = Math.max(
    ...voteless.map((id) => progress.get(id)?.heardAtMs ?? 0),
  );
  return isConfirmed(state, voteless, heardAtMs) ? voteless : [];
}

/**
 * Reports whether voters may follow on the present ones: each quorum of the one set
 * must overlap with each quorum of the other in a replica that can vote. That allows
 * to add or remove one voter, and to replace emptied ones at once.
 *
 * @param state The leader.
 * @param voters The new voters.
 * @returns Whether all overlap.
 */
export function canFollowOn(
  state: replicaStates.ReplicaState,
  voters: readonly string[],
): boolean {
  return replicaSets.hasQuorumOverlap(
    replicaStates.listVoters(state),
    voters,
    listReplaceable(state),
  );
}

/**
 * Records the incarnations that messages of a leader may admit.
 *
 * @param admitting Incarnations recorded before, by replica.
 * @param to Receiver of a message.
 * @param admits Incarnation that the message admits; undefined for none.
 * @returns All of them.
 */
export function recordAdmitting(
  admitting: ReadonlyMap<string, number>,
  to: string,
  admits: number | undefined,
): ReadonlyMap<string, number> {
  if (admits === undefined || admitting.get(to) === admits) return admitting;
  return new Map([...admitting, [to, admits] as const]);
}
