import type * as messages from "./message.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Counts no answer of a former self. One that is not admitted may be of a new self
 * whose clock was stepped back before its first start; passed over for good, it
 * would stay empty for as long as this leader leads, and no other box may be lost.
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
