import type * as replicaStates from "./replica_state.ts";

/** Factor by which the longest gap decays with each message. */
const GAP_DECAY = 0.8;
/** Gaps for which a follower waits before it starts an election. */
const GAPS_TO_ALLOW = 2;
/** Longest addition to the election delay, in ms. */
const MAX_EXTRA_DELAY_MS = 2_000;

/**
 * Records the gap between two messages of a leader.
 *
 * @returns The longest recent gap in this term; 0 after the first message.
 */
export function recordHeartbeat(
  state: replicaStates.ReplicaState,
  term: number,
  nowMs: number,
): replicaStates.HeartbeatGap {
  const { heartbeatGap: lateness, leaderContactAtMs: heardAtMs } = state;
  if (lateness.term !== term) return { term, gapMs: 0 };
  const gapMs = Math.max(nowMs - heardAtMs, lateness.gapMs * GAP_DECAY);
  return { term, gapMs };
}

/**
 * Computes the addition to the election delay of a follower whose leader sends
 * heartbeats slowly. Without it, overloaded boxes would depose each other's leaders
 * in turn. It is 0 while the gaps are at most half the election timeout.
 *
 * @param state The replica.
 * @returns The additional delay, in ms.
 */
export function getExtraDelayMs(state: replicaStates.ReplicaState): number {
  const { heartbeatGap: lateness, config } = state;
  const delayMs = GAPS_TO_ALLOW * lateness.gapMs - config.electionTimeoutMs;
  return Math.min(MAX_EXTRA_DELAY_MS, Math.max(0, delayMs));
}
