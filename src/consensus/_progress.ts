import type * as messages from "./message.ts";
import type * as replicaStates from "./replica_state.ts";

/** A replica whose disk was lost holds nothing of what it held before. */
export function resetForNewIncarnation(
  known: replicaStates.Progress,
  reply: messages.AppendReply,
): replicaStates.Progress {
  if (reply.identity.incarnation === known.identity.incarnation) return known;
  return {
    nextIndex: reply.index + 1,
    matchIndex: 0,
    lastAckedSentAtMs: Number.NEGATIVE_INFINITY,
    identity: reply.identity,
  };
}

/**
 * Goes back to where a follower's log ends. Only once for all that was sent
 * before: each of those messages is answered like the first one, and going back
 * for each sends the same entries again and again.
 */
function resetNextIndex(
  progress: replicaStates.Progress,
  reply: messages.AppendReply,
  nowMs: number,
): replicaStates.Progress {
  const { rewoundAtMs = Number.NEGATIVE_INFINITY, matchIndex } = progress;
  if (reply.sentAtMs < rewoundAtMs) return progress;
  return {
    ...progress,
    nextIndex: Math.max(matchIndex, reply.index) + 1,
    rewoundAtMs: nowMs,
  };
}

/** What is known of a follower after an answer. */
export function recordReply(
  old: replicaStates.Progress,
  reply: messages.AppendReply,
  nowMs: number,
): replicaStates.Progress {
  const { identity, sentAtMs, index } = reply;
  const { lastProgressAtMs: progressAtMs = nowMs } = old;
  const ackedSentAtMs = Math.max(old.lastAckedSentAtMs, sentAtMs);
  const replied = {
    ...old,
    identity,
    lastAckedSentAtMs: ackedSentAtMs,
    lastReplyAtMs: nowMs,
    lastProgressAtMs: progressAtMs,
  };
  if (!reply.isMatch) return resetNextIndex(replied, reply, nowMs);
  const hasAdvanced = index > old.matchIndex;
  return {
    ...replied,
    matchIndex: Math.max(old.matchIndex, index),
    nextIndex: Math.max(old.nextIndex, index + 1),
    lastProgressAtMs: hasAdvanced ? nowMs : progressAtMs,
  };
}
