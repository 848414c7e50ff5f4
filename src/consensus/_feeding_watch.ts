import * as replicaLogs from "./replica_log.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaStates from "./replica_state.ts";

/** Between two notices of how followers are fed, in ms. */
const FEEDING_NOTICE_MS = 1_000;

/** What is known of a follower since this replica leads. */
type WatchedFollower =
  /** It has not answered yet. */
  | { readonly kind: "unheard"; readonly sinceMs: number }
  /** It answered, and does not count in a quorum. */
  | {
    readonly kind: "fed";
    readonly incarnation: number;
    readonly sinceMs: number;
    /** Last entry that it held at the last notice. */
    readonly toldIndex: number;
  }
  | { readonly kind: "counted"; readonly incarnation: number };

/** Follows how a leader feeds the replicas that do not count yet. */
export class FeedingWatch {
  readonly #tell: notices.NoticeHandler;
  #watched: ReadonlyMap<string, WatchedFollower> = new Map();
  /** When the next notice is due; undefined while all followers count. */
  #dueMs: number | undefined;

  constructor(tell: notices.NoticeHandler) {
    this.#tell = tell;
  }

  /** Looks at the followers; a replica that does not lead has none. */
  observe(state: replicaStates.ReplicaState, nowMs: number): void {
    const { role } = state;
    const progress = role.kind === "leader" ? [...role.progress] : [];
    const before = this.#watched;
    this.#watched = new Map(
      progress.map(([id, entry]) =>
        [id, watchFollower(before.get(id), entry, nowMs)] as const
      ),
    );
    this.#tellAdmitted(state, before, nowMs);
    this.#tellFeeding(state, nowMs);
  }

  /** How long the follower that is fed longest has not counted, in ms. */
  getLongestMs(nowMs: number): number {
    const times = [...this.#watched.values()].flatMap((item) =>
      item.kind === "fed" ? [nowMs - item.sinceMs] : []
    );
    return Math.max(0, ...times);
  }

  #tellAdmitted(
    state: replicaStates.ReplicaState,
    before: ReadonlyMap<string, WatchedFollower>,
    nowMs: number,
  ): void {
    for (const [id, now] of this.#watched) {
      if (now.kind !== "counted") continue;
      const { incarnation } = now;
      const fedMs = measureFeeding(before.get(id), incarnation, nowMs);
      if (fedMs === undefined) continue;
      const { term } = state;
      const index = getMatchIndex(state, id);
      this.#tell({
        kind: "followerAdmitted",
        id,
        incarnation,
        term,
        index,
        fedMs,
      });
    }
  }

  #tellFeeding(state: replicaStates.ReplicaState, nowMs: number): void {
    const lacking = [...this.#watched].filter(([, item]) =>
      item.kind !== "counted"
    );
    if (lacking.length === 0) {
      this.#dueMs = undefined;
      return;
    }
    this.#dueMs ??= nowMs + FEEDING_NOTICE_MS;
    if (nowMs < this.#dueMs) return;
    this.#dueMs = nowMs + FEEDING_NOTICE_MS;
    this.#tell({
      kind: "feeding",
      term: state.term,
      lastIndex: replicaLogs.getLastIndex(state.log),
      followers: lacking.flatMap(([id, item]) =>
        describeFollower(state, id, item, nowMs) ?? []
      ),
    });
    this.#watched = new Map(
      [...this.#watched].map(([id, item]) =>
        [id, noteTold(item, getMatchIndex(state, id))] as const
      ),
    );
  }
}

function watchFollower(
  before: WatchedFollower | undefined,
  progress: replicaStates.Progress,
  nowMs: number,
): WatchedFollower {
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
  return { kind: "fed", incarnation, sinceMs: nowMs, toldIndex: matchIndex };
}

/**
 * Tells how long a follower that counts now was fed; undefined where it counted
 * before, or where this leader has just begun to hear it.
 */
function measureFeeding(
  before: WatchedFollower | undefined,
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
  watched: WatchedFollower,
  nowMs: number,
): notices.UnadmittedFollower | undefined {
  const isVoter = replicaStates.listVoters(state).includes(id);
  switch (watched.kind) {
    case "counted":
      return undefined;
    case "unheard": {
      const sinceMs = Math.round(nowMs - watched.sinceMs);
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
        incarnation: watched.incarnation,
        lag: replicaLogs.getLastIndex(state.log) - matchIndex,
        confirmed: matchIndex - watched.toldIndex,
        silentMs: Math.round(nowMs - answeredSentAtMs),
        fedMs: Math.round(nowMs - watched.sinceMs),
      };
    }
  }
}

function noteTold(
  watched: WatchedFollower,
  toldIndex: number,
): WatchedFollower {
  return watched.kind === "fed" ? { ...watched, toldIndex } : watched;
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
