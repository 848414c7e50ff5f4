import * as contactGaps from "./_contact_gap.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
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

/**
 * Finds the last entry that a reply confirms. On a mismatch it is the one that the
 * reply names, if the leader's entry there has the same term: logs with an entry of
 * the same index and term agree up to it.
 *
 * @returns The entry's index; 0 if the reply confirms none.
 */
function findConfirmedIndex(
  log: replicaLogs.ReplicaLog,
  { isMatch, index, indexTerm }: messages.AppendReply,
): number {
  if (isMatch) return index;
  if (indexTerm === undefined) return 0;
  return replicaLogs.getTermAt(log, index) === indexTerm ? index : 0;
}

/**
 * Updates a follower's progress from an append reply.
 *
 * @param log The leader's log.
 */
export function recordReply(
  old: replicaStates.Progress,
  reply: messages.AppendReply,
  log: replicaLogs.ReplicaLog,
  nowMs: number,
): replicaStates.Progress {
  const { identity, sentAtMs } = reply;
  const { lastReplyAtMs: previousReplyAtMs = nowMs, heardAtMs = nowMs } = old;
  const { lastProgressAtMs: progressAtMs = nowMs } = old;
  const ackedSentAtMs = Math.max(old.lastAckedSentAtMs, sentAtMs);
  const index = findConfirmedIndex(log, reply);
  const hasAdvanced = index > old.matchIndex;
  const replyGap = contactGaps.recordGap(
    old.replyGap ?? contactGaps.NO_GAP,
    nowMs - previousReplyAtMs,
    nowMs,
  );
  const replied = {
    ...old,
    identity,
    heardAtMs,
    replyGap,
    matchIndex: Math.max(old.matchIndex, index),
    nextIndex: Math.max(old.nextIndex, index + 1),
    lastAckedSentAtMs: ackedSentAtMs,
    lastReplyAtMs: nowMs,
    lastProgressAtMs: hasAdvanced ? nowMs : progressAtMs,
  };
  return reply.isMatch ? replied : resetNextIndex(replied, reply, nowMs);
}

/**
 * Records that a follower has confirmed parts of a snapshot, which counts as
 * progress. Once it has all of them, it is about to install the snapshot: its
 * rejections of messages sent before do not mean that it needs another one.
 */
export function recordSnapshotParts(
  old: replicaStates.Progress,
  wholeIndex: number | undefined,
  nowMs: number,
): replicaStates.Progress {
  const moved = { ...old, lastProgressAtMs: nowMs };
  if (wholeIndex === undefined) return moved;
  const nextIndex = Math.max(old.nextIndex, wholeIndex + 1);
  return { ...moved, nextIndex, rewoundAtMs: nowMs };
}
