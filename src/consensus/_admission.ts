import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Decides whether a message may admit a follower that lost its disk to quorums.
 * The leader must have committed an entry of its term, and a quorum must have
 * acknowledged a request that was sent after the follower was heard: a leader that
 * was deposed meanwhile could otherwise form a quorum with the emptied replica.
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
  return isConfirmedSince(state, to, heardAtMs);
}

/** Reports whether a quorum acknowledged a request sent after a time. */
function isConfirmedSince(
  state: replicaStates.ReplicaState,
  excluded: string,
  sinceMs: number,
): boolean {
  if (state.role.kind !== "leader") return false;
  const voters = replicaStates.listVoters(state);
  const confirmed = [...state.role.progress].filter(([id, progress]) =>
    id !== excluded && voters.includes(id) && progress.identity.isAdmitted &&
    progress.lastAckedSentAtMs > sinceMs
  );
  const own = replicaStates.isVoter(state) ? 1 : 0;
  return confirmed.length + own >= replicaStates.getQuorumSize(state);
}

/**
 * Reports whether a follower is certain not to vote or count in a quorum before
 * this leader admits it: it answered in this term that it is not admitted, and was
 * sent no message that could admit it.
 *
 * @param progress The follower's progress.
 * @returns Whether it is.
 */
export function isVoteless(progress: replicaStates.Progress): boolean {
  const { identity, heardAtMs, isAdmitting } = progress;
  return heardAtMs !== undefined && !identity.isAdmitted &&
    isAdmitting !== true;
}

/**
 * Reports whether voters may follow on the sets that may be in force: each quorum
 * of one must overlap with each quorum of the other in a replica that can vote.
 * That allows to add or remove one voter, and to replace voteless ones at once.
 *
 * @param state The leader.
 * @param voters The new voters.
 * @returns Whether all overlap.
 */
export function canFollowOn(
  state: replicaStates.ReplicaState,
  voters: readonly string[],
): boolean {
  const { role, log, commitIndex, config } = state;
  if (role.kind !== "leader") return false;
  const voteless = [...role.progress].filter(([, progress]) =>
    isVoteless(progress)
  ).map(([id]) => id);
  const sets = replicaLogs.listSetsInForce(log, commitIndex);
  const previous = sets.length === 0 ? [config.voters] : sets;
  return previous.every((before) =>
    replicaSets.hasQuorumOverlap(before, voters, voteless)
  );
}
