import * as elections from "./_election.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/** Longest time in which nothing is proposed for a successor's sake, in ms. */
const HANDOVER_MS = 500;
/** Time after that in which commands are taken again, at least, in ms. */
const SERVING_MS = 1_500;

/**
 * Holds back commands for a while, so that some follower gets every entry. Under load
 * none has them at the moment of a look: with 200 commands a second and 40 ms a sync
 * a leader that was to be emptied led on for 20 s (fake clock).
 */
function awaitSuccessor(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader") return state;
  const { handoverUntilMs = Number.NEGATIVE_INFINITY } = role;
  if (nowMs < handoverUntilMs + SERVING_MS) return state;
  return { ...state, role: { ...role, handoverUntilMs: nowMs + HANDOVER_MS } };
}

/**
 * Steps down in favour of a follower that has every entry. Authority ends
 * before the follower is told, so there are never two with it.
 */
export function transferLeadership(
  state: replicaStates.ReplicaState,
  nowMs: number,
  wanted?: string,
): replicaStates.Transition {
  if (state.role.kind !== "leader") return { state, effects: [] };
  const lastIndex = replicaLogs.getLastIndex(state.log);
  const voters = replicaStates.listVoters(state);
  const successor = [...state.role.progress].find(([id, progress]) =>
    voters.includes(id) && progress.matchIndex === lastIndex &&
    progress.identity.isAdmitted && (wanted === undefined || id === wanted)
  )?.[0];
  if (successor === undefined) {
    const waiting = wanted === undefined ? awaitSuccessor(state, nowMs) : state;
    return { state: waiting, effects: [] };
  }
  const follower = elections.resetElection(
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
