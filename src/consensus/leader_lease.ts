import * as contactGaps from "./_contact_gap.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Length of a lease as a fraction of the election timeout. The remainder covers
 * clocks whose rates differ by up to a tenth.
 */
const LEASE_FRACTION = 0.8;

/** Resume time for callers whose result is safe even after a suspension. */
export const NEVER_SUSPENDED = Number.NEGATIVE_INFINITY;

/**
 * Computes when the leader's lease expires. Until then no other replica can be
 * elected, since a quorum refuses votes.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @param resumedAtMs Monotonic time before which the box may have been
 * suspended, in ms. Requests sent before it don't extend the lease: the
 * monotonic clock may not have counted the suspension, during which another
 * leader may have been elected.
 * @returns Monotonic expiry time, in ms; 0 for a replica that is not the
 * leader, negative infinity if no quorum has replied since `resumedAtMs`.
 */
export function getLeaseExpiryMs(
  state: replicaStates.ReplicaState,
  nowMs: number,
  resumedAtMs: number,
): number {
  if (state.role.kind !== "leader") return 0;
  const sendTimes = replicaStates.listAdmittedProgress(state)
    .map(({ lastAckedSentAtMs: sentAtMs }) =>
      sentAtMs >= resumedAtMs ? sentAtMs : Number.NEGATIVE_INFINITY
    );
  const own = replicaStates.isVoter(state) ? [nowMs] : [];
  const newestFirst = [...own, ...sendTimes].sort((a, b) => b - a);
  const quorumSentAtMs = newestFirst[replicaStates.getQuorumSize(state) - 1] ??
    0;
  return quorumSentAtMs + state.config.electionTimeoutMs * LEASE_FRACTION;
}

/**
 * Time since the last reply after which a follower is out of contact, in
 * election timeouts. Replies this old keep the leader in its role, but give it no
 * authority.
 */
const CONTACT_TIMEOUTS = 1.8;
/** Maximum age of the request that a reply acknowledges, in election timeouts. */
const MAX_ECHO_AGE_TIMEOUTS = 6;

/**
 * Reports whether a quorum still replies to the leader, even if too late to
 * extend its lease. A leader that stepped down on slow replies alone would cause
 * repeated elections on overloaded boxes.
 *
 * @param state The leader.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether a quorum is in contact.
 */
export function hasQuorumContact(
  state: replicaStates.ReplicaState,
  nowMs: number,
): boolean {
  const { electionTimeoutMs } = state.config;
  const inContact = replicaStates.listAdmittedProgress(state).filter(
    (
      {
        lastReplyAtMs: replyAtMs = Number.NEGATIVE_INFINITY,
        lastAckedSentAtMs: sentAtMs,
        replyGap = contactGaps.NO_GAP,
      },
    ) =>
      nowMs - replyAtMs < electionTimeoutMs * CONTACT_TIMEOUTS +
          contactGaps.getExtraMs(replyGap, electionTimeoutMs, nowMs) &&
      nowMs - sentAtMs < electionTimeoutMs * MAX_ECHO_AGE_TIMEOUTS,
  );
  const own = replicaStates.isVoter(state) ? 1 : 0;
  return inContact.length + own >= replicaStates.getQuorumSize(state);
}

/**
 * Reports whether a replica may act as leader: it holds a valid lease and has
 * committed the first entry of its term, and so all entries of earlier terms.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @param resumedAtMs Monotonic time before which the box may have been
 * suspended, in ms.
 * @returns Whether it has authority.
 */
export function hasAuthority(
  state: replicaStates.ReplicaState,
  nowMs: number,
  resumedAtMs: number,
): boolean {
  if (state.role.kind !== "leader") return false;
  if (state.commitIndex < state.role.termStartIndex) return false;
  return nowMs < getLeaseExpiryMs(state, nowMs, resumedAtMs);
}
