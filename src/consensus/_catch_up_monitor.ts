import * as replicaLogs from "./replica_log.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaStates from "./replica_state.ts";

/** Between two notices of how followers are fed, in ms. */
const NOTICE_INTERVAL_MS = 1_000;

/** What is known of a follower since this replica leads. */
type FollowerState =
  /** It has not answered yet. */
  | { readonly kind: "unheard"; readonly sinceMs: number }
  /** It answered, and does not count in a quorum. */
  | {
    readonly kind: "fed";
    readonly incarnation: number;
    readonly sinceMs: number;
    /** Last entry that it held at the last notice. */
    readonly reportedIndex: number;
  }
  | { readonly kind: "counted"; readonly incarnation: number };

/** Follows how a leader feeds the replicas that do not count yet. */
export class CatchUpMonitor {
  readonly #notify: notices.NoticeHandler;
  #followers: ReadonlyMap<string, FollowerState> = new Map();
  /** When the next notice is due; undefined while all followers count. */
  #nextNoticeMs: number | undefined;

  constructor(notify: notices.NoticeHandler) {
    this.#notify = notify;
  }

  /** Looks at the followers; a replica that does not lead has none. */
  observe(state: replicaStates.ReplicaState, nowMs: number): void {
    const { role } = state;
    const progress = role.kind === "leader" ? [...role.progress] : [];
    const before = this.#followers;
    this.#followers = new Map(
      progress.map(([id, entry]) =>
        [id, updateFollower(before.get(id), entry, nowMs)] as const
      ),
    );
    this.#reportAdmitted(state, before, nowMs);
    this.#reportCatchUps(state, nowMs);
  }

  /** How long the follower that is fed longest has not counted, in ms. */
  getLongestCatchUpMs(nowMs: number): number {
    const times = [...this.#followers.values()].flatMap((item) =>
      item.kind === "fed" ? [nowMs - item.sinceMs] : []
    );
    return Math.max(0, ...times);
  }

  #reportAdmitted(
    state: replicaStates.ReplicaState,
    before: ReadonlyMap<string, FollowerState>,
    nowMs: number,
  ): void {
    for (const [id, now] of this.#followers) {
      if (now.kind !== "counted") continue;
      const { incarnation } = now;
      const fedMs = measureCatchUpMs(before.get(id), incarnation, nowMs);
      if (fedMs === undefined) continue;
      const { term } = state;
      const index = getMatchIndex(state, id);
      this.#notify({
        kind: "followerAdmitted",
        id,
        incarnation,
        term,
        index,
        fedMs,
      });
    }
  }

  #reportCatchUps(state: replicaStates.ReplicaState, nowMs: number): void {
    const notAdmitted = [...this.#followers].filter(([, item]) =>
      item.kind !== "counted"
    );
    if (notAdmitted.length === 0) {
      this.#nextNoticeMs = undefined;
      return;
    }
    this.#nextNoticeMs ??= nowMs + NOTICE_INTERVAL_MS;
    if (nowMs < this.#nextNoticeMs) return;
    this.#nextNoticeMs = nowMs + NOTICE_INTERVAL_MS;
    this.#notify({
      kind: "feeding",
      term: state.term,
      lastIndex: replicaLogs.getLastIndex(state.log),
      followers: notAdmitted.flatMap(([id, item]) =>
        describeFollower(state, id, item, nowMs) ?? []
      ),
    });
    this.#followers = new Map(
      [...this.#followers].map(([id, item]) =>
        [id, recordReportedIndex(item, getMatchIndex(state, id))] as const
      ),
    );
  }
}

function updateFollower(
  before: FollowerState | undefined,
  progress: replicaStates.Progress,
  nowMs: number,
): FollowerState {
  const { identity, matchIndex, lastAckedSentAtMs: answeredSentAtMs } =
    progress;
  const { incarnation, isAdmitted } = identity;
  if (!Number.isFinite(answeredSentAtMs)) {
    return before?.kind === "unheard"
      ? before
      : { kind: "unheard", sinceMs: nowMs };
  }
  if (isAdmitted) return { kind: "counted", incarnation };
  const isSame = before?.kind === "fed" && before.incarnation === incarnation;
  if (isSame) return before;
  return {
    kind: "fed",
    incarnation,
    sinceMs: nowMs,
    reportedIndex: matchIndex,
  };
}

/**
 * Tells how long a follower that counts now was fed; undefined where it counted
 * before, or where this leader has just begun to hear it.
 */
function measureCatchUpMs(
  before: FollowerState | undefined,
  incarnation: number,
  nowMs: number,
): number | undefined {
  if (before === undefined) return undefined;
  switch (before.kind) {
    case "unheard":
      return undefined;
    case "fed":
      return Math.round(nowMs - before.sinceMs);
    case "counted":
      // It lost its disk and was admitted anew between two looks.
      return before.incarnation === incarnation ? undefined : 0;
  }
}

function describeFollower(
  state: replicaStates.ReplicaState,
  id: string,
  follower: FollowerState,
  nowMs: number,
): notices.UnadmittedFollower | undefined {
  const isVoter = replicaStates.listVoters(state).includes(id);
  switch (follower.kind) {
    case "counted":
      return undefined;
    case "unheard": {
      const sinceMs = Math.round(nowMs - follower.sinceMs);
      return { kind: "unheard", id, isVoter, sinceMs };
    }
    case "fed": {
      const matchIndex = getMatchIndex(state, id);
      const answeredSentAtMs = findProgress(state, id)?.lastAckedSentAtMs ??
        nowMs;
      return {
        kind: "fed",
        id,
        isVoter,
        incarnation: follower.incarnation,
        lag: replicaLogs.getLastIndex(state.log) - matchIndex,
        confirmed: matchIndex - follower.reportedIndex,
        silentMs: Math.round(nowMs - answeredSentAtMs),
        fedMs: Math.round(nowMs - follower.sinceMs),
      };
    }
  }
}

function recordReportedIndex(
  follower: FollowerState,
  reportedIndex: number,
): FollowerState {
  return follower.kind === "fed"
    ? { ...follower, reportedIndex: reportedIndex }
    : follower;
}

function getMatchIndex(
  state: replicaStates.ReplicaState,
  id: string,
): number {
  return findProgress(state, id)?.matchIndex ?? 0;
}

function findProgress(
  state: replicaStates.ReplicaState,
  id: string,
): replicaStates.Progress | undefined {
  return state.role.kind === "leader" ? state.role.progress.get(id) : undefined;
}
