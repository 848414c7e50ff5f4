import * as authorities from "./leader_lease.ts";
import * as entrySizes from "./_entry_size.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Entries on their way to an admitted follower at most, some seconds of a full
 * load: a follower that pauses does not fill the leader's sockets.
 */
const PIPELINE_ENTRIES = 240;
/** Bytes on their way to it at most; some thirtieth of a store's heap. */
const PIPELINE_BYTES = 4 * 1024 * 1024;
/**
 * Bytes of one message, unless one entry alone is larger. Encoded whole, messages
 * of 2 MB and more took a leader of 140 MB of heap out of memory while it fed
 * a replica (real processes, entries of 98 KB).
 */
const MESSAGE_BYTES = 512 * 1024;
/** Messages on their way to a fed replica: one is encoded while one is taken in. */
const FEED_MESSAGES = 2;
/** Entries in a message to a fed replica at first. */
const FEED_FIRST_ENTRIES = 8;
/** Entries to which its messages shrink while the leader is held up. */
const FEED_LEAST_ENTRIES = 32;
/** Entries in a message to a fed replica at most, under a megabyte usually. */
const FEED_MOST_ENTRIES = 96;
/** By how much these messages grow and shrink. */
const FEED_FACTOR = 2;
/**
 * Share of the election timeout for which a leader still has authority where it is
 * not held up: its quorum has answered what was sent two heartbeats ago.
 */
const EASE_SHARE = 1 / 3;
/** Replicas that are fed at once; the others wait for their turn. */
const FED_AT_ONCE = 1;
/** Replicas that are tried at once while none of them moves. */
const TRIED_AT_ONCE = 2;
/** Time without an answer, or without progress, after which another is fed, in ms. */
const SILENT_MS = 1_000;

/** What may be on its way to a follower. */
interface Window {
  readonly entries: number;
  readonly bytes: number;
  /** Entries of one message. */
  readonly batch: number;
}

/**
 * Says how many entries a follower may be sent now. Replicas that lost their
 * disks are fed one after the other, in messages that grow while the leader is
 * not held up. Fed at once and without a bound, two of five voters took a leader
 * with 0.3 of a core its authority, again and again for 25 s after a restart of
 * all boxes (log lines). In messages of 8 entries whatever the load, a voter
 * of 1,650 entries at 20 ms a sync counted again after 7.9 s, and a second lost
 * disk in the meantime left the group without a leader for good (fake clock).
 *
 * @param state The leader.
 * @param to The follower.
 * @param progress How far it is.
 * @param nowMs Monotonic time, in ms.
 * @returns The number of entries; 0 for a heartbeat only.
 */
export function countSendable(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  nowMs: number,
): number {
  const { maxBatchEntries } = state.config;
  const { nextIndex } = progress;
  // What it holds is not known yet; only what is new is sent.
  if (!Number.isFinite(progress.lastAckedSentAtMs)) {
    return countWithin(state.log, nextIndex, maxBatchEntries, MESSAGE_BYTES);
  }
  const window = findWindow(state, to, progress, nowMs);
  if (window === undefined) return 0;
  const firstIndex = progress.matchIndex + 1;
  const unconfirmed = nextIndex - firstIndex;
  if (unconfirmed >= window.entries) return 0;
  const sentBytes = sumBytes(state.log, firstIndex, unconfirmed);
  if (unconfirmed > 0 && sentBytes >= window.bytes) return 0;
  const most = Math.min(window.batch, window.entries - unconfirmed);
  return countWithin(state.log, nextIndex, most, MESSAGE_BYTES);
}

/**
 * Tells whether a follower may be sent a snapshot now: one that counts, or the new
 * replica that is fed.
 *
 * @param state The leader.
 * @param to The follower.
 * @param progress How far it is.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether it may.
 */
export function isInTurn(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  nowMs: number,
): boolean {
  return progress.identity.isAdmitted || listFed(state, nowMs).includes(to);
}

/**
 * Says how many entries the next messages to a fed replica take, after it has
 * confirmed more. They double while the leader is not held up, and also while
 * the replica does not gain on the log: one that never catches up is worse than a
 * leader that is held up. Else they shrink.
 *
 * @param state The leader.
 * @param before How far the replica was before the answer.
 * @param gained Entries by which it is nearer to the log's end since the answer
 * before.
 * @param nowMs Monotonic time, in ms.
 * @returns The number of entries.
 */
export function updateBatch(
  state: replicaStates.ReplicaState,
  before: replicaStates.Progress,
  gained: number,
  nowMs: number,
): number {
  const { catchUpBatchEntries: feedEntries = FEED_FIRST_ENTRIES } = before;
  const { getLeaseExpiryMs: getAuthorityUntilMs, NEVER_SUSPENDED } =
    authorities;
  const leftMs = getAuthorityUntilMs(state, nowMs, NEVER_SUSPENDED) - nowMs;
  const isAtEase = leftMs > state.config.electionTimeoutMs * EASE_SHARE;
  const isGaining = gained > feedEntries / FEED_FACTOR;
  if (isAtEase || !isGaining) {
    return Math.min(FEED_MOST_ENTRIES, feedEntries * FEED_FACTOR);
  }
  const fewer = Math.floor(feedEntries / FEED_FACTOR);
  return Math.min(feedEntries, Math.max(FEED_LEAST_ENTRIES, fewer));
}

function findWindow(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  nowMs: number,
): Window | undefined {
  const { maxBatchEntries } = state.config;
  if (progress.identity.isAdmitted || !isFarBehind(state, progress)) {
    return {
      entries: PIPELINE_ENTRIES,
      bytes: PIPELINE_BYTES,
      batch: maxBatchEntries,
    };
  }
  if (!listFed(state, nowMs).includes(to)) return undefined;
  const {
    catchUpBatchEntries: feedEntries = Math.min(
      FEED_FIRST_ENTRIES,
      maxBatchEntries,
    ),
  } = progress;
  return {
    entries: FEED_MESSAGES * feedEntries,
    bytes: FEED_MESSAGES * MESSAGE_BYTES,
    batch: feedEntries,
  };
}

/** Counts entries from an index on that fit; one always fits. */
function countWithin(
  log: replicaLogs.ReplicaLog,
  fromIndex: number,
  most: number,
  bytes: number,
): number {
  let left = bytes;
  const entries = replicaLogs.getEntries(log, fromIndex, most);
  const tooMuch = entries.findIndex((entry) => {
    left -= entrySizes.estimateBytes(entry);
    return left < 0;
  });
  return tooMuch < 0 ? entries.length : Math.max(1, tooMuch);
}

function sumBytes(
  log: replicaLogs.ReplicaLog,
  fromIndex: number,
  count: number,
): number {
  return replicaLogs.getEntries(log, fromIndex, count)
    .reduce((sum, entry) => sum + entrySizes.estimateBytes(entry), 0);
}

function isFarBehind(
  state: replicaStates.ReplicaState,
  progress: replicaStates.Progress,
): boolean {
  const lag = replicaLogs.getLastIndex(state.log) - progress.matchIndex;
  return lag > replicaStates.MAX_CAUGHT_UP_LAG_ENTRIES;
}

/**
 * The new replicas that are fed: the first that moves, voters first, then those
 * that hold most. Where none has moved for long, two of them: one that takes
 * nothing in must not keep another, which is to take its place, empty for good.
 */
function listFed(
  state: replicaStates.ReplicaState,
  nowMs: number,
): readonly string[] {
  if (state.role.kind !== "leader") return [];
  const voters = replicaStates.listVoters(state);
  const waiting = [...state.role.progress]
    .filter(([, progress]) =>
      !progress.identity.isAdmitted && isFarBehind(state, progress) &&
      nowMs - progress.lastAckedSentAtMs < SILENT_MS
    )
    .toSorted(([a, left], [b, right]) =>
      Number(voters.includes(b)) - Number(voters.includes(a)) ||
      right.matchIndex - left.matchIndex ||
      (a < b ? -1 : 1)
    );
  const moving = waiting.filter(([, progress]) => !isStalled(progress, nowMs));
  const fed = moving.length > 0
    ? moving.slice(0, FED_AT_ONCE)
    : waiting.slice(0, TRIED_AT_ONCE);
  return fed.map(([id]) => id);
}

/** Whether a replica answers, but has confirmed nothing new for long. */
function isStalled(progress: replicaStates.Progress, nowMs: number): boolean {
  const { lastProgressAtMs: movedAtMs } = progress;
  return movedAtMs !== undefined && nowMs - movedAtMs > SILENT_MS;
}
