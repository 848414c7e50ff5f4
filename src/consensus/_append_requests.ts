import * as admissions from "./_admission.ts";
import * as appendWindows from "./_append_window.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/** A message or snapshot for a follower, and its progress after sending. */
export interface PreparedAppend {
  readonly progress: replicaStates.Progress;
  readonly effect: replicaStates.Effect;
  /** Incarnation of the follower that the message admits; undefined for none. */
  readonly admits?: number | undefined;
}

/** The entries of an append request, and whom it admits. */
export interface RequestContent {
  /** Index of the first entry. */
  readonly nextIndex: number;
  readonly count: number;
  /** Incarnation of the follower that it admits; undefined for none. */
  readonly admits: number | undefined;
}

/** Describes the append request that a follower is sent next. */
export function describeContent(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  count: number,
): RequestContent {
  const { nextIndex, identity } = progress;
  const isAdmitting = admissions.canAdmit(
    state,
    to,
    progress,
    nextIndex - 1 + count,
  );
  const admits = isAdmitting ? identity.incarnation : undefined;
  return { nextIndex, count, admits };
}

/**
 * Creates an append request.
 *
 * @returns The request; undefined if the log no longer holds the entry before its
 * first one, so that the follower needs a snapshot.
 */
export function createRequest(
  state: replicaStates.ReplicaState,
  { nextIndex, count, admits }: RequestContent,
  nowMs: number,
): messages.AppendRequest | undefined {
  const previousIndex = nextIndex - 1;
  const previousTerm = replicaLogs.getTermAt(state.log, previousIndex);
  if (previousTerm === undefined) return undefined;
  const { log, term, commitIndex } = state;
  return {
    kind: "appendRequest",
    term,
    previousIndex,
    previousTerm,
    entries: replicaLogs.getEntries(log, nextIndex, count),
    commitIndex,
    isEstablished: admits !== undefined,
    admits,
    sentAtMs: nowMs,
  };
}

/**
 * Advances a follower's progress past a message; without a message the follower
 * is sent a snapshot.
 */
export function createAppend(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  message: messages.AppendRequest | undefined,
): PreparedAppend {
  if (message === undefined) {
    const nextIndex = replicaLogs.getLastIndex(state.log) + 1;
    return {
      progress: { ...progress, nextIndex },
      effect: { kind: "sendSnapshot", to },
    };
  }
  const nextIndex = progress.nextIndex + message.entries.length;
  return {
    progress: { ...progress, nextIndex },
    effect: { kind: "send", to, message },
    admits: message.admits,
  };
}

/**
 * Creates a heartbeat for a replica whose snapshot is deferred, so that snapshots
 * do not compete for bandwidth. It names the leader's snapshot as the previous
 * entry, because the log no longer holds the one before the follower's next index.
 */
function createHeartbeat(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  nowMs: number,
): PreparedAppend {
  const { log, term, commitIndex } = state;
  const message: messages.AppendRequest = {
    kind: "appendRequest",
    term,
    previousIndex: log.snapshotIndex,
    previousTerm: log.snapshotTerm,
    entries: [],
    commitIndex,
    isEstablished: false,
    sentAtMs: nowMs,
  };
  return { progress, effect: { kind: "send", to, message } };
}

/**
 * Creates the message for each follower. Followers that need the same entries
 * share one message object, so that it is encoded and compressed once.
 */
export function createAppends(
  state: replicaStates.ReplicaState,
  followers: ReadonlyMap<string, replicaStates.Progress>,
  nowMs: number,
): readonly (readonly [string, PreparedAppend])[] {
  const requests = new Map<string, messages.AppendRequest | undefined>();
  return [...followers].map(([to, progress]) => {
    const count = appendWindows.countSendable(state, to, progress, nowMs);
    const content = describeContent(state, to, progress, count);
    const key = `${content.nextIndex} ${count} ${content.admits}`;
    if (!requests.has(key)) {
      requests.set(key, createRequest(state, content, nowMs));
    }
    const message = requests.get(key);
    if (
      message === undefined &&
      !appendWindows.canSendSnapshot(state, to, progress, nowMs)
    ) {
      return [to, createHeartbeat(state, to, progress, nowMs)] as const;
    }
    return [to, createAppend(state, to, progress, message)] as const;
  });
}
