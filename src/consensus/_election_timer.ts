import * as contactGaps from "./_contact_gap.ts";
import * as electionDelays from "./_election_delay.ts";
import * as formerLeaders from "./_former_leader.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Share of the election timeout after which a pre-vote is repeated at the earliest.
 */
const PRE_VOTE_FRACTION = 1 / 3;

/**
 * Resets the election timer to a random delay of one to two election timeouts,
 * plus an allowance for a leader whose heartbeats are slow. A restarted leader
 * gets a shorter, fixed delay.
 */
export function resetElectionTimer(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  if (formerLeaders.canStartEarlyElection(state, nowMs)) {
    const waitMs = state.config.electionTimeoutMs *
      formerLeaders.EARLY_ELECTION_FRACTION;
    return {
      ...state,
      electionAtMs: nowMs + waitMs,
      isElectionDeferred: false,
    };
  }
  const { electionTimeoutMs } = state.config;
  const { gap } = state.leaderContacts;
  const extraMs = contactGaps.getExtraMs(gap, electionTimeoutMs, nowMs);
  return setDelay(state, electionTimeoutMs, nowMs + extraMs);
}

/**
 * Sets a short random delay until the pre-vote is repeated. A pre-vote disturbs
 * nobody, and on overloaded boxes the moments in which a quorum answers are short.
 */
export function resetPreVoteTimer(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  if (formerLeaders.canStartEarlyElection(state, nowMs)) {
    return resetElectionTimer(state, nowMs);
  }
  return setDelay(
    state,
    state.config.electionTimeoutMs * PRE_VOTE_FRACTION,
    nowMs,
  );
}

/** Sets the random time after which a candidate gives up the votes that it has. */
export function limitCandidacy(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  return setDelay(state, state.config.electionTimeoutMs, nowMs);
}

/** Sets the election timer to a random delay of one to two times a duration. */
function setDelay(
  state: replicaStates.ReplicaState,
  durationMs: number,
  nowMs: number,
): replicaStates.ReplicaState {
  const { config, electionDelayCount } = state;
  const delayMs = electionDelays.drawDelay(
    config.seed,
    electionDelayCount,
    durationMs,
  );
  return {
    ...state,
    electionAtMs: nowMs + delayMs,
    isElectionDeferred: false,
    electionDelayCount: electionDelayCount + 1,
  };
}
