import * as authorities from "./leader_lease.ts";
import * as entrySizes from "./_entry_size.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Entries on their way to an admitted follower at most, some seconds of a full
 * load: a follower that pauses does not fill the leader's sockets.
 */
const MAX_IN_FLIGHT_ENTRIES = 240;
/** Bytes on their way to it at most; some thirtieth of a store's heap. */
const MAX_IN_FLIGHT_BYTES = 4 * 1024 * 1024;
/**
 * Bytes of one message, unless one entry alone is larger. Encoded whole, messages
 * of 2 MB and more took a leader of 140 MB of heap out of memory while it fed
 * a replica (real processes, entries of 98 KB).
 */
const MAX_MESSAGE_BYTES = 512 * 1024;
/** Messages on their way to a fed replica: one is encoded while one is taken in. */
const MAX_CATCH_UP_MESSAGES = 2;
/** Entries in a message to a fed replica at first. */
const INITIAL_CATCH_UP_BATCH = 8;
/** Entries to which its messages shrink while the leader is held up. */
const MIN_CATCH_UP_BATCH = 32;
/** Entries in a message to a fed replica at most, under a megabyte usually. */
const MAX_CATCH_UP_BATCH = 96;
/** By how much these messages grow and shrink. */
const BATCH_FACTOR = 2;
/**
 * Share of the election timeout for which a leader still has authority where it is
 * not held up: its quorum has answered what was sent two heartbeats ago.
 */
const HEADROOM_FRACTION = 1 / 3;
/** Replicas that are fed at once; the others wait for their turn. */
const MAX_CATCH_UPS = 1;
/** Replicas that are tried at once while none of them moves. */
const MAX_STALLED_CATCH_UPS = 2;
/** Time without an answer, or without progress, after which another is fed, in ms. */
const STALL_TIMEOUT_MS = 1_000;

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
    return countFitting(
      state.log,
      nextIndex,
      maxBatchEntries,
      MAX_MESSAGE_BYTES,
    );
  }
  const window = findWindow(state, to, progress, nowMs);
  if (window === undefined) return 0;
  const firstIndex = progress.matchIndex + 1;
  const unconfirmed = nextIndex - firstIndex;
  if (unconfirmed >= window.entries) return 0;
  const sentBytes = sumBytes(state.log, firstIndex, unconfirmed);
  if (unconfirmed > 0 && sentBytes >= window.bytes) return 0;
  const limit = Math.min(window.batch, window.entries - unconfirmed);
  return countFitting(state.log, nextIndex, limit, MAX_MESSAGE_BYTES);
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
export function canSendSnapshot(
  state: replicaStates.ReplicaState,
  to: string,
  progress: replicaStates.Progress,
  nowMs: number,
): boolean {
  return progress.identity.isAdmitted ||
    selectCatchUps(state, nowMs).includes(to);
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
export function updateBatchSize(
  state: replicaStates.ReplicaState,
  before: replicaStates.Progress,
  gained: number,
  nowMs: number,
): number {
  const { catchUpBatchEntries: feedEntries = INITIAL_CATCH_UP_BATCH } = before;
  const { getLeaseExpiryMs: getAuthorityUntilMs, NEVER_SUSPENDED } =
    authorities;
  const remainingMs = getAuthorityUntilMs(state, nowMs, NEVER_SUSPENDED) -
    nowMs;
  const hasHeadroom =
    remainingMs > state.config.electionTimeoutMs * HEADROOM_FRACTION;
  const isGaining = gained > feedEntries / BATCH_FACTOR;
  if (hasHeadroom || !isGaining) {
    return Math.min(MAX_CATCH_UP_BATCH, feedEntries * BATCH_FACTOR);
  }
  const halved = Math.floor(feedEntries / BATCH_FACTOR);
  return Math.min(feedEntries, Math.max(MIN_CATCH_UP_BATCH, halved));
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
      entries: MAX_IN_FLIGHT_ENTRIES,
      bytes: MAX_IN_FLIGHT_BYTES,
      batch: maxBatchEntries,
    };
  }
  if (!selectCatchUps(state, nowMs).includes(to)) return undefined;
  const {
    catchUpBatchEntries: feedEntries = Math.min(
      INITIAL_CATCH_UP_BATCH,
      maxBatchEntries,
    ),
  } = progress;
  return {
    entries: MAX_CATCH_UP_MESSAGES * feedEntries,
    bytes: MAX_CATCH_UP_MESSAGES * MAX_MESSAGE_BYTES,
    batch: feedEntries,
  };
}

/** Counts entries from an index on that fit; one always fits. */
function countFitting(
  log: replicaLogs.ReplicaLog,
  fromIndex: number,
  limit: number,
  maxBytes: number,
): number {
  let remaining = maxBytes;
  const entries = replicaLogs.getEntries(log, fromIndex, limit);
  const overflowAt = entries.findIndex((entry) => {
    remaining -= entrySizes.estimateBytes(entry);
    return remaining < 0;
  });
  return overflowAt < 0 ? entries.length : Math.max(1, overflowAt);
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
function selectCatchUps(
  state: replicaStates.ReplicaState,
  nowMs: number,
): readonly string[] {
  if (state.role.kind !== "leader") return [];
  const voters = replicaStates.listVoters(state);
  const candidates = [...state.role.progress]
    .filter(([, progress]) =>
      !progress.identity.isAdmitted && isFarBehind(state, progress) &&
      nowMs - progress.lastAckedSentAtMs < STALL_TIMEOUT_MS
    )
    .toSorted(([a, left], [b, right]) =>
      Number(voters.includes(b)) - Number(voters.includes(a)) ||
      right.matchIndex - left.matchIndex ||
      (a < b ? -1 : 1)
    );
  const advancing = candidates.filter(([, progress]) =>
    !isStalled(progress, nowMs)
  );
  const selected = advancing.length > 0
    ? advancing.slice(0, MAX_CATCH_UPS)
    : candidates.slice(0, MAX_STALLED_CATCH_UPS);
  return selected.map(([id]) => id);
}

/** Whether a replica answers, but has confirmed nothing new for long. */
function isStalled(progress: replicaStates.Progress, nowMs: number): boolean {
  const { lastProgressAtMs: movedAtMs } = progress;
  return movedAtMs !== undefined && nowMs - movedAtMs > STALL_TIMEOUT_MS;
}
