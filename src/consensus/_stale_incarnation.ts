import type * as messages from "./message.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Ignores a reply whose incarnation is older than the known one. If the sender is
 * not admitted, it may be a new replica whose wall clock was stepped back, so it is
 * asked to raise its incarnation; otherwise it could never catch up.
 */
export function handleStaleReply(
  state: replicaStates.ReplicaState,
  from: string,
  known: replicaStates.Progress,
  reply: messages.AppendReply,
): replicaStates.Transition {
  if (reply.identity.isAdmitted) {
    return { state, effects: [] };
  }
  const { incarnation } = known.identity;
  const message: messages.RenewRequest = {
    kind: "renewRequest",
    term: state.term,
    incarnation,
  };
  return { state, effects: [{ kind: "send", to: from, message }] };
}
