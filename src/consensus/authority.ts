import * as replicaStates from "./replica_state.ts";

/**
 * Share of the election timeout for which a leader trusts its quorum's
 * answers. The rest covers clocks whose rates differ, by up to a tenth.
 */
const AUTHORITY_FRACTION = 0.8;

/**
 * Tells until when a leader surely leads: no other replica can have been
 * elected before, since a quorum refuses votes until then.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @returns Monotonic ms; 0 for a replica that does not lead.
 */
export function getAuthorityUntilMs(
  state: replicaStates.ReplicaState,
  nowMs: number,
): number {
  if (state.role.kind !== "leader") return 0;
  const answers = replicaStates.listAdmitted(state)
    .map((progress) => progress.answeredSentAtMs);
  const own = replicaStates.isVoter(state) ? [nowMs] : [];
  const newest = [...own, ...answers].sort((a, b) => b - a);
  const quorumAtMs = newest[replicaStates.getQuorum(state) - 1] ?? 0;
  return quorumAtMs + state.config.electionTimeoutMs * AUTHORITY_FRACTION;
}

/**
 * Tells whether a replica may act as leader now: it surely leads, and knows
 * all that was accepted before its term.
 *
 * @param state The replica.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether it may.
 */
export function hasAuthority(
  state: replicaStates.ReplicaState,
  nowMs: number,
): boolean {
  if (state.role.kind !== "leader") return false;
  if (state.commitIndex < state.role.firstIndex) return false;
  return nowMs < getAuthorityUntilMs(state, nowMs);
}
