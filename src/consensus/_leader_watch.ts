import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** Time without a leader after which it is told, and between two notices, in ms. */
const LEADERLESS_MS = 2_000;
/**
 * Longest time between two notices of a replica that votes nowhere, in ms.
 * Leaders feed no spare that they don't need, so such a one may never hear any.
 */
const SPARE_NOTICE_MS = 60_000;

/** An answer to a vote request, and when it came. */
interface HeardAnswer {
  readonly reply: messages.VoteReply;
  readonly atMs: number;
}

/** Follows since when a replica knows no leader, and what its voters answer. */
export class LeaderWatch {
  readonly #tell: notices.NoticeHandler;
  /** When a leader that may act was known last, in monotonic ms. */
  #knownAtMs: number;
  /** Time without a leader after which the next notice is due, in ms. */
  #dueAfterMs = LEADERLESS_MS;
  /** Last answer of each voter. */
  #answers: ReadonlyMap<string, HeardAnswer> = new Map();

  /**
   * @param nowMs Monotonic time at which the replica was opened, in ms.
   * @param tell Takes the notices.
   */
  constructor(nowMs: number, tell: notices.NoticeHandler) {
    this.#knownAtMs = nowMs;
    this.#tell = tell;
  }

  /** Notes what a voter answered; only voters are kept, so they are few. */
  noteAnswer(
    state: replicaStates.ReplicaState,
    from: string,
    reply: messages.VoteReply,
    nowMs: number,
  ): void {
    const others = replicaStates.listOtherVoters(state);
    const kept = [...this.#answers].filter(([id]) => others.includes(id));
    this.#answers = others.includes(from)
      ? new Map([...kept, [from, { reply, atMs: nowMs }] as const])
      : new Map(kept);
  }

  /** Time since a leader that may act was known, in ms. */
  getSinceMs(nowMs: number): number {
    return Math.round(nowMs - this.#knownAtMs);
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
    const knownAtMs = hasAuthority ? nowMs : state.leaderContactAtMs;
    if (knownAtMs > this.#knownAtMs) {
      this.#knownAtMs = knownAtMs;
      this.#dueAfterMs = LEADERLESS_MS;
    }
    const sinceMs = this.getSinceMs(nowMs);
    if (sinceMs < this.#dueAfterMs) return;
    this.#dueAfterMs = getNextMs(state, sinceMs);
    this.#tell(this.#describe(state, nowMs, writingMs));
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
      sinceMs: this.getSinceMs(nowMs),
      isAdmitted: identity.isAdmitted,
      lastIndex,
      lastTerm: replicaLogs.getTermAt(log, lastIndex) ?? 0,
      commitIndex,
      set: replicaStatuses.describeVoterSet(state),
      asked: replicaStates.listOtherVoters(state).map((id) => ({
        id,
        answer: describeAnswer(this.#answers.get(id), nowMs),
      })),
      writingMs,
    };
  }
}

/** Voters are told of at each interval, others after ever longer ones. */
function getNextMs(
  state: replicaStates.ReplicaState,
  sinceMs: number,
): number {
  const isInSet = replicaStates.listVoters(state).includes(state.config.id);
  if (isInSet) return sinceMs + LEADERLESS_MS;
  return sinceMs + Math.min(sinceMs, SPARE_NOTICE_MS);
}

function describeAnswer(
  heard: HeardAnswer | undefined,
  nowMs: number,
): notices.VoteAnswer {
  if (heard === undefined) return { kind: "none" };
  const { isPreVote, isGranted, refusal: reason } = heard.reply;
  const ageMs = Math.round(nowMs - heard.atMs);
  return isGranted
    ? { kind: "granted", isPreVote, ageMs }
    : { kind: "refused", isPreVote, reason, ageMs };
}
