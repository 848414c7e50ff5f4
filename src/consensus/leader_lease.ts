import * as replicaStates from "./replica_state.ts";

/**
 * Share of the election timeout for which a leader trusts its quorum's
 * answers. The rest covers clocks whose rates differ, by up to a tenth.
 */
const LEASE_FRACTION = 0.8;

/**
 * Stands for a machine that was never suspended, where what is decided is safe
 * whether it was or not.
 */
export const NEVER_SUSPENDED = Number.NEGATIVE_INFINITY;

/**
 * Tells until when a leader surely leads: no other replica can have been
 * elected before, since a quorum refuses votes until then.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @param resumedAtMs Monotonic time before which the machine may have been
 * suspended, in ms. What it sent before may be older than it seems, and counts
 * no more: a leader that woke after 3 s led on beside the one elected meanwhile.
 * @returns Monotonic ms; 0 for a replica that does not lead, negative infinity
 * for one that was not answered since.
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
 * Share of the election timeout in which some answers of a quorum must come, however
 * old, so that a leader goes on to lead. It has no authority by them.
 */
const CONTACT_TIMEOUTS = 1.8;
/** Age of what was answered, in election timeouts, from which it counts no more. */
const MAX_ECHO_AGE_TIMEOUTS = 6;

/**
 * Tells whether a leader is answered, though late. One that gave up where answers
 * take 0.4 to 0.9 s, as on boxes with a third of a core, left the lead to another
 * such one again and again.
 *
 * @param state The leader.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether a quorum's answers go on to come.
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
      },
    ) =>
      nowMs - replyAtMs < electionTimeoutMs * CONTACT_TIMEOUTS &&
      nowMs - sentAtMs < electionTimeoutMs * MAX_ECHO_AGE_TIMEOUTS,
  );
  const own = replicaStates.isVoter(state) ? 1 : 0;
  return inContact.length + own >= replicaStates.getQuorumSize(state);
}

/**
 * Tells whether a replica may act as leader now: it surely leads, and knows
 * all that was accepted before its term.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @param resumedAtMs Monotonic time before which the machine may have been
 * suspended, in ms.
 * @returns Whether it may.
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
