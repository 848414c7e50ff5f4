import * as electionTimers from "./_election_timer.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/** Longest pause of proposals during a leadership transfer, in ms. */
const MAX_PAUSE_MS = 500;
/** Shortest time between the end of a pause and the next pause, in ms. */
const MIN_PAUSE_INTERVAL_MS = 1_500;

/**
 * Pauses proposals for a while, so that a follower can catch up completely. Under
 * steady load there may never be a moment at which a follower holds every entry.
 */
function pauseProposals(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader") return state;
  const { handoverUntilMs = Number.NEGATIVE_INFINITY } = role;
  if (nowMs < handoverUntilMs + MIN_PAUSE_INTERVAL_MS) return state;
  return { ...state, role: { ...role, handoverUntilMs: nowMs + MAX_PAUSE_MS } };
}

/**
 * Transfers leadership to an admitted voter that holds every entry. The leader steps
 * down before the request is sent, so there are never two leaders with authority.
 * If there is no such voter and no target is named, proposals are paused.
 *
 * @param to Id of the only replica that may take over; any voter if undefined.
 */
export function transferLeadership(
  state: replicaStates.ReplicaState,
  nowMs: number,
  to?: string,
): replicaStates.Transition {
  if (state.role.kind !== "leader") return { state, effects: [] };
  const lastIndex = replicaLogs.getLastIndex(state.log);
  const voters = replicaStates.listVoters(state);
  const successor = [...state.role.progress].find(([id, progress]) =>
    voters.includes(id) && progress.matchIndex === lastIndex &&
    progress.identity.isAdmitted && (to === undefined || id === to)
  )?.[0];
  if (successor === undefined) {
    const paused = to === undefined ? pauseProposals(state, nowMs) : state;
    return { state: paused, effects: [] };
  }
  const follower = electionTimers.resetElectionTimer(
    { ...state, role: { kind: "follower" } },
    nowMs,
  );
  const message: messages.TransferRequest = {
    kind: "transferRequest",
    term: state.term,
  };
  return {
    state: follower,
    effects: [{ kind: "send", to: successor, message }],
  };
}
