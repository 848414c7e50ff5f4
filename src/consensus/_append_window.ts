import * as leaderLeases from "./leader_lease.ts";
import * as entrySizes from "./_entry_size.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Most unconfirmed entries in flight to an admitted or nearly caught-up follower,
 * so that a paused follower does not fill the leader's sockets.
 */
const MAX_IN_FLIGHT_ENTRIES = 240;
/** Most unconfirmed bytes in flight to such a follower. */
const MAX_IN_FLIGHT_BYTES = 4 * 1024 * 1024;
/**
 * Most bytes of entries in one message, unless a single entry is larger. Bounds
 * the memory that the leader needs to encode it: messages of 2 MB and more can
 * exhaust a heap of 140 MB while a replica catches up.
 */
const MAX_MESSAGE_BYTES = 512 * 1024;
/**
 * Most bytes of entries in one message to a replica that catches up, unless a single
 * entry is larger: some 2 ms of a core to encode, and 5 ms to receive and write.
 */
const MAX_CATCH_UP_MESSAGE_BYTES = 256 * 1024;
/** Most unconfirmed bytes in flight to such a replica. */
const MAX_CATCH_UP_IN_FLIGHT_BYTES = 4 * 1024 * 1024;
/** Unconfirmed bytes in flight to such a replica if few are missing. */
const MIN_CATCH_UP_IN_FLIGHT_BYTES = 1024 * 1024;
/**
 * Time in which the missing bytes are to be sent, in ms. On slow boxes a reply takes
 * up to a second; the log must still reach the replica before the next disk is lost,
 * some seconds later. More in flight than that would delay the leader's heartbeats.
 */
const CATCH_UP_TARGET_MS = 1_000;
/** Most batches in flight to such a replica. */
const MAX_CATCH_UP_BATCHES = 4;
/** Entries in the first messages to a replica that catches up. */
const INITIAL_CATCH_UP_BATCH = 32;
/**
 * Fewest entries to which such a message shrinks while the leader is
 * overloaded.
 */
const MIN_CATCH_UP_BATCH = 32;
/**
 * Most missing bytes at which a replica counts as nearly caught up. Large entries
 * make a lag of few entries a long transfer.
 */
const MAX_CAUGHT_UP_LAG_BYTES = 512 * 1024;
/** Most entries in a message to a replica that catches up. */
const MAX_CATCH_UP_BATCH = 96;
/** Factor by which the batch size grows and shrinks. */
const BATCH_FACTOR = 2;
/**
 * Share of the election timeout that must remain of a leader's authority for it to
 * count as not overloaded.
 */
const HEADROOM_FRACTION = 1 / 3;
/** Replicas that catch up at the same time; the others are deferred. */
const MAX_CATCH_UPS = 1;
/** Replicas that are served at the same time while none makes progress. */
const MAX_STALLED_CATCH_UPS = 2;
/**
 * Time without a reply or without progress after which another replica is served,
 * in ms.
 */
const STALL_TIMEOUT_MS = 1_000;

/** Limits of the unconfirmed entries in flight to a follower. */
interface Window {
  readonly entries: number;
  readonly bytes: number;
  /** Most entries in one message. */
  readonly batch: number;
  /** Most bytes in one message. */
  readonly messageBytes: number;
}

/**
 * Counts the entries that a follower may be sent now. Replicas that lost their
 * disks catch up one at a time, in batches that grow while the leader has headroom:
 * unbounded, the traffic delays heartbeats until the leader loses its authority.
 * In small batches alone, a replica with a slow disk would take so long to catch up
 * that the loss of a second disk meanwhile costs the group its quorum.
 *
 * @param state The leader.
 * @param to The follower.
 * @param progress Its progress.
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
  // Before the first reply the match index is unknown, so the window does not apply.
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
  return countFitting(state.log, nextIndex, limit, window.messageBytes);
}

/**
 * Tells whether a follower may be sent a snapshot now: it is admitted, or selected
 * to catch up.
 *
 * @param state The leader.
 * @param to The follower.
 * @param progress Its progress.
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
 * Computes the batch size for a replica that catches up and has confirmed entries.
 * It doubles while the leader has headroom, and also while the replica does not
 * gain on the log, since otherwise it would never catch up. Else it halves.
 *
 * @param state The leader.
 * @param before Progress before the reply.
 * @param gained Entries by which its lag has shrunk since the reply before; negative
 * if it has grown.
 * @param nowMs Monotonic time, in ms.
 * @returns The most entries of the next message.
 */
export function updateBatchSize(
  state: replicaStates.ReplicaState,
  before: replicaStates.Progress,
  gained: number,
  nowMs: number,
): number {
  const { catchUpBatchEntries: feedEntries = INITIAL_CATCH_UP_BATCH } = before;
  const { getLeaseExpiryMs: getAuthorityUntilMs, NEVER_SUSPENDED } =
    leaderLeases;
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

/**
 * Computes the bytes in flight with which a replica catches up in time, given the
 * time that its replies take.
 */
function computeNeededBytes(
  { log }: replicaStates.ReplicaState,
  progress: replicaStates.Progress,
): number {
  const { matchIndex, lastAckedSentAtMs } = progress;
  const lag = replicaLogs.getLastIndex(log) - matchIndex;
  const missingBytes = sumBytes(log, matchIndex + 1, lag);
  const replyMs = getRepliedAtMs(progress) - lastAckedSentAtMs;
  const neededBytes = missingBytes * replyMs / CATCH_UP_TARGET_MS;
  return Math.min(
    MAX_CATCH_UP_IN_FLIGHT_BYTES,
    Math.max(MIN_CATCH_UP_IN_FLIGHT_BYTES, neededBytes),
  );
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
      messageBytes: MAX_MESSAGE_BYTES,
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
    entries: MAX_CATCH_UP_BATCHES * feedEntries,
    bytes: computeNeededBytes(state, progress),
    batch: feedEntries,
    messageBytes: MAX_CATCH_UP_MESSAGE_BYTES,
  };
}

/**
 * Counts the entries from an index on that fit into `maxBytes`; the first
 * always does.
 */
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
  const { log } = state;
  const { matchIndex } = progress;
  const lag = replicaLogs.getLastIndex(log) - matchIndex;
  if (lag > replicaStates.MAX_CAUGHT_UP_LAG_ENTRIES) return true;
  return sumBytes(log, matchIndex + 1, lag) > MAX_CAUGHT_UP_LAG_BYTES;
}

/**
 * Selects which responsive, non-admitted replicas catch up: the best one that makes
 * progress, preferring those with the most entries, then voters. The one that can be
 * admitted first is served first, since any admission lets the group bear the next
 * lost disk. While none makes progress the best two are served, so that a stuck
 * replica does not block its replacement.
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
      nowMs - getRepliedAtMs(progress) < STALL_TIMEOUT_MS
    )
    .toSorted(([a, left], [b, right]) =>
      right.matchIndex - left.matchIndex ||
      Number(voters.includes(b)) - Number(voters.includes(a)) ||
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

/**
 * Returns when a replica last replied, in ms. What it replied to may be older than
 * any limit on slow boxes, so its age does not tell a silent replica.
 */
function getRepliedAtMs(progress: replicaStates.Progress): number {
  return progress.lastReplyAtMs ?? progress.lastAckedSentAtMs;
}

/** Tells whether a replica has confirmed nothing new for `STALL_TIMEOUT_MS`. */
function isStalled(progress: replicaStates.Progress, nowMs: number): boolean {
  const { lastProgressAtMs: movedAtMs } = progress;
  return movedAtMs !== undefined && nowMs - movedAtMs > STALL_TIMEOUT_MS;
}
