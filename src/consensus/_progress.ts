import * as contactGaps from "./_contact_gap.ts";
import type * as messages from "./message.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Resets the progress of a follower with a new incarnation: its disk was lost, and
 * with it all entries that it had confirmed.
 */
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
 * Moves the next index back to the end of a follower's log. Mismatch replies to
 * messages that were sent before the last move are ignored; otherwise each of them
 * would cause the same entries to be sent again.
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

/** Updates a follower's progress from an append reply. */
export function recordReply(
  old: replicaStates.Progress,
  reply: messages.AppendReply,
  nowMs: number,
): replicaStates.Progress {
  const { identity, sentAtMs, index } = reply;
  const { lastReplyAtMs: previousReplyAtMs = nowMs, heardAtMs = nowMs } = old;
  const { lastProgressAtMs: progressAtMs = nowMs } = old;
  const ackedSentAtMs = Math.max(old.lastAckedSentAtMs, sentAtMs);
  const replied = {
    ...old,
    identity,
    lastAckedSentAtMs: ackedSentAtMs,
    lastReplyAtMs: nowMs,
    heardAtMs,
    replyGap: contactGaps.recordGap(
      old.replyGap ?? contactGaps.NO_GAP,
      nowMs - previousReplyAtMs,
      nowMs,
    ),
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
