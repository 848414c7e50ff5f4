import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Entries by which a new replica may lag and still be sent each new one at
 * once; one that lags more is fed. Four of the largest messages.
 */
const FEED_LAG_ENTRIES = 96;
/**
 * Entries on their way to an admitted follower at most, some seconds of a full
 * load: a follower that pauses does not fill the leader's sockets.
 */
const PIPELINE_ENTRIES = 240;
/** Entries in one message to a fed replica, of some 10 KB each (estimated). */
const FEED_ENTRIES = 8;
/** Messages on their way to it: one is encoded while one is taken in. */
const FEED_MESSAGES = 2;
/** Replicas that are fed at once; the others wait for their turn. */
const FED_AT_ONCE = 1;
/** Silence after which another replica is fed instead, in ms. */
const SILENT_MS = 1_000;

/**
 * Says how many entries a follower may be sent now. Replicas that lost their
 * disks are fed one after the other, with few entries on their way. Fed at once
 * and without a bound, two of five voters took a leader with 0.3 of a core its
 * authority, again and again for 25 s after a restart of all boxes (log lines).
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
  // What it holds is not known yet; only what is new is sent.
  if (!Number.isFinite(progress.answeredSentAtMs)) return maxBatchEntries;
  const unconfirmed = progress.nextIndex - 1 - progress.matchIndex;
  if (progress.identity.isAdmitted || !isFarBehind(state, progress)) {
    return limitCount(PIPELINE_ENTRIES - unconfirmed, maxBatchEntries);
  }
  if (!listFed(state, nowMs).includes(to)) return 0;
  const batch = Math.min(FEED_ENTRIES, maxBatchEntries);
  return limitCount(FEED_MESSAGES * batch - unconfirmed, batch);
}

function limitCount(count: number, most: number): number {
  return Math.max(0, Math.min(count, most));
}

function isFarBehind(
  state: replicaStates.ReplicaState,
  progress: replicaStates.Progress,
): boolean {
  const lag = replicaLogs.getLastIndex(state.log) - progress.matchIndex;
  return lag > FEED_LAG_ENTRIES;
}

/** The new replicas that are fed: voters first, then those that hold most. */
function listFed(
  state: replicaStates.ReplicaState,
  nowMs: number,
): readonly string[] {
  if (state.role.kind !== "leader") return [];
  const voters = replicaStates.listVoters(state);
  return [...state.role.progress]
    .filter(([, progress]) =>
      !progress.identity.isAdmitted && isFarBehind(state, progress) &&
      nowMs - progress.answeredSentAtMs < SILENT_MS
    )
    .toSorted(([a, left], [b, right]) =>
      Number(voters.includes(b)) - Number(voters.includes(a)) ||
      right.matchIndex - left.matchIndex ||
      (a < b ? -1 : 1)
    )
    .slice(0, FED_AT_ONCE)
    .map(([id]) => id);
}
