import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** Time without a leader after which it is told, and between two notices, in ms. */
const NOTICE_INTERVAL_MS = 2_000;
/**
 * Longest time between two notices of a replica that votes nowhere, in ms.
 * Leaders feed no spare that they don't need, so such a one may never hear any.
 */
const MAX_NON_VOTER_INTERVAL_MS = 60_000;

/** An answer to a vote request, and when it came. */
interface ReceivedReply {
  readonly reply: messages.VoteReply;
  readonly atMs: number;
}

/** Follows since when a replica knows no leader, and what its voters answer. */
export class LeaderMonitor {
  readonly #notify: notices.NoticeHandler;
  /** When a leader that may act was known last, in monotonic ms. */
  #leaderSeenAtMs: number;
  /** Time without a leader after which the next notice is due, in ms. */
  #nextNoticeAfterMs = NOTICE_INTERVAL_MS;
  /** Last answer of each voter. */
  #replies: ReadonlyMap<string, ReceivedReply> = new Map();

  /**
   * @param nowMs Monotonic time at which the replica was opened, in ms.
   * @param notify Takes the notices.
   */
  constructor(nowMs: number, notify: notices.NoticeHandler) {
    this.#leaderSeenAtMs = nowMs;
    this.#notify = notify;
  }

  /** Notes what a voter answered; only voters are kept, so they are few. */
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

  /** Time since a leader that may act was known, in ms. */
  getLeaderlessMs(nowMs: number): number {
    return Math.round(nowMs - this.#leaderSeenAtMs);
  }

  /**
   * Looks whether a leader is known.
   *
   * @param writingMs How long the write under way has lasted, in ms.
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

/** Voters are told of at each interval, others after ever longer ones. */
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
