import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/** What is known of a follower since this replica leads. */
type WatchedFollower =
  /** It has not answered yet. */
  | { readonly kind: "unheard" }
  /** It answered, and does not count in a quorum. */
  | {
    readonly kind: "fed";
    readonly incarnation: number;
    readonly sinceMs: number;
  }
  | { readonly kind: "counted"; readonly incarnation: number };

/** Follows how a leader feeds the replicas that do not count yet. */
export class FeedingWatch {
  readonly #tell: notices.TakeNotice;
  #watched: ReadonlyMap<string, WatchedFollower> = new Map();

  constructor(tell: notices.TakeNotice) {
    this.#tell = tell;
  }

  /** Looks at the followers; a replica that does not lead has none. */
  observe(state: replicaStates.ReplicaState, nowMs: number): void {
    const { role, term } = state;
    const progress = role.kind === "leader" ? [...role.progress] : [];
    const before = this.#watched;
    this.#watched = new Map(
      progress.map(([id, entry]) =>
        [id, watchFollower(before.get(id), entry, nowMs)] as const
      ),
    );
    for (const [id, { matchIndex }] of progress) {
      const now = this.#watched.get(id);
      if (now?.kind !== "counted") continue;
      const fedMs = measureFeeding(before.get(id), now.incarnation, nowMs);
      if (fedMs === undefined) continue;
      const { incarnation } = now;
      this.#tell({
        kind: "followerAdmitted",
        id,
        incarnation,
        term,
        index: matchIndex,
        fedMs,
      });
    }
  }
}

function watchFollower(
  before: WatchedFollower | undefined,
  { identity, answeredSentAtMs }: replicaStates.Progress,
  nowMs: number,
): WatchedFollower {
  const { incarnation, isAdmitted } = identity;
  if (!Number.isFinite(answeredSentAtMs)) return { kind: "unheard" };
  if (isAdmitted) return { kind: "counted", incarnation };
  const isSame = before?.kind === "fed" && before.incarnation === incarnation;
  return isSame ? before : { kind: "fed", incarnation, sinceMs: nowMs };
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
