import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** Time without a leader before the first notice, and between notices, in ms. */
const NOTICE_INTERVAL_MS = 2_000;
/**
 * Longest time between two notices of a replica outside the voter set, in ms. A
 * leader need not contact such a replica, so it may never know one.
 */
const MAX_NON_VOTER_INTERVAL_MS = 60_000;

/** A reply to a vote request, and the monotonic time at which it arrived. */
interface ReceivedReply {
  readonly reply: messages.VoteReply;
  readonly atMs: number;
}

/** Reports when a replica knows no leader, with the last vote replies. */
export class LeaderMonitor {
  readonly #notify: notices.NoticeHandler;
  /** Monotonic time at which a leader with authority was last known, in ms. */
  #leaderSeenAtMs: number;
  /** Leaderless time at which the next notice is due, in ms. */
  #nextNoticeAfterMs = NOTICE_INTERVAL_MS;
  /** Last reply of each voter. */
  #replies: ReadonlyMap<string, ReceivedReply> = new Map();

  /**
   * @param nowMs Monotonic time at which the replica was opened, in ms.
   * @param notify Receives the notices.
   */
  constructor(nowMs: number, notify: notices.NoticeHandler) {
    this.#leaderSeenAtMs = nowMs;
    this.#notify = notify;
  }

  /**
   * Records a vote reply; replies from replicas outside the voter set are
   * dropped.
   */
  recordReply(
    state: replicaStates.ReplicaState,
    from: string,
    reply: messages.VoteReply,
    nowMs: number,
  ): void {
    const others = replicaStates.listOtherVoters(state);
    const kept = [...this.#replies].filter(([id]) => others.includes(id));
    this.#replies = others.includes(from)
      ? new Map([...kept, [from, { reply, atMs: nowMs }] as const])
      : new Map(kept);
  }

  /** Returns the time since a leader with authority was known, in ms. */
  getLeaderlessMs(nowMs: number): number {
    return Math.round(nowMs - this.#leaderSeenAtMs);
  }

  /**
   * Checks whether a leader is known and reports a due notice.
   *
   * @param writingMs Age of the write in progress, in ms; 0 if there is none.
   */
  observe(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    nowMs: number,
    writingMs: number,
  ): void {
    const seenAtMs = hasAuthority ? nowMs : state.leaderContactAtMs;
    if (seenAtMs > this.#leaderSeenAtMs) {
      this.#leaderSeenAtMs = seenAtMs;
      this.#nextNoticeAfterMs = NOTICE_INTERVAL_MS;
    }
    const sinceMs = this.getLeaderlessMs(nowMs);
    if (sinceMs < this.#nextNoticeAfterMs) return;
    this.#nextNoticeAfterMs = getNextNoticeMs(state, sinceMs);
    this.#notify(this.#describe(state, nowMs, writingMs));
  }

  #describe(
    state: replicaStates.ReplicaState,
    nowMs: number,
    writingMs: number,
  ): notices.ReplicaNotice {
    const { role, term, identity, log, commitIndex } = state;
    const lastIndex = replicaLogs.getLastIndex(log);
    return {
      kind: "leaderless",
      role: role.kind,
      term,
      sinceMs: this.getLeaderlessMs(nowMs),
      isAdmitted: identity.isAdmitted,
      lastIndex,
      lastTerm: replicaLogs.getTermAt(log, lastIndex) ?? 0,
      commitIndex,
      set: replicaStatuses.describeVoterSet(state),
      asked: replicaStates.listOtherVoters(state).map((id) => ({
        id,
        answer: describeReply(this.#replies.get(id), nowMs),
      })),
      writingMs,
    };
  }
}

/** Voters report at a fixed interval, other replicas at growing intervals. */
function getNextNoticeMs(
  state: replicaStates.ReplicaState,
  sinceMs: number,
): number {
  const isInSet = replicaStates.listVoters(state).includes(state.config.id);
  if (isInSet) return sinceMs + NOTICE_INTERVAL_MS;
  return sinceMs + Math.min(sinceMs, MAX_NON_VOTER_INTERVAL_MS);
}

function describeReply(
  received: ReceivedReply | undefined,
  nowMs: number,
): notices.VoteAnswer {
  if (received === undefined) return { kind: "none" };
  const { isPreVote, isGranted, refusal: reason } = received.reply;
  const ageMs = Math.round(nowMs - received.atMs);
  return isGranted
    ? { kind: "granted", isPreVote, ageMs }
    : { kind: "refused", isPreVote, reason, ageMs };
}
