import * as admissions from "./_admission.ts";
import * as appendRequests from "./_append_requests.ts";
import * as commits from "./_commit.ts";
import * as appendWindows from "./_append_window.ts";
import * as staleIncarnations from "./_stale_incarnation.ts";
import type * as messages from "./message.ts";
import * as progresses from "./_progress.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Longest delay before followers are sent a new commit index, in ms. Reads at a
 * follower wait for it; the delay lets several commits share one message.
 */
const MAX_COMMIT_DELAY_MS = 15;

/** Most messages with entries in answer to a reply, of some ms of a core each. */
const MAX_MESSAGES_PER_REPLY = 2;

const NO_EFFECTS: readonly replicaStates.Effect[] = [];

/** Sends each follower the entries that its window admits, or a heartbeat. */
export function sendAppends(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const { role } = state;
  if (role.kind !== "leader") return { state, effects: [] };
  const sent = appendRequests.createAppends(state, role.progress, nowMs);
  const progress = new Map(sent.map(([to, append]) => [to, append.progress]));
  const admitting = sent.reduce(
    (all, [to, { admits }]) => admissions.recordAdmitting(all, to, admits),
    role.admitting,
  );
  const heartbeatDueAtMs = nowMs + state.config.heartbeatMs;
  const next = {
    ...state,
    role: { ...role, progress, admitting, nextHeartbeatAtMs: heartbeatDueAtMs },
  };
  return commitReplicated({
    state: next,
    effects: sent.map(([, append]) => append.effect),
  });
}

/** Sends a follower missing entries, or a snapshot, unless its window is full. */
function sendAppendTo(
  state: replicaStates.ReplicaState,
  to: string,
  nowMs: number,
): replicaStates.Transition {
  const { role } = state;
  if (role.kind !== "leader") return { state, effects: [] };
  const progress = role.progress.get(to);
  if (progress === undefined) return { state, effects: [] };
  const count = appendWindows.countSendable(state, to, progress, nowMs);
  if (count === 0) return { state, effects: [] };
  const content = appendRequests.describeContent(state, to, progress, count);
  const message = appendRequests.createRequest(state, content, nowMs);
  const sent = appendRequests.createAppend(state, to, progress, message);
  const next = new Map([...role.progress, [to, sent.progress] as const]);
  const admitting = admissions.recordAdmitting(
    role.admitting,
    to,
    sent.admits,
  );
  return {
    state: { ...state, role: { ...role, progress: next, admitting } },
    effects: [sent.effect],
  };
}

/**
 * Sends a replica that is not admitted several messages, as far as its window
 * permits; other followers one. Bounded, so that heartbeats are not delayed.
 */
function sendMissing(
  state: replicaStates.ReplicaState,
  to: string,
  isAdmitted: boolean,
  nowMs: number,
): replicaStates.Transition {
  const limit = isAdmitted ? 1 : MAX_MESSAGES_PER_REPLY;
  let sent = sendAppendTo(state, to, nowMs);
  for (let count = 1; count < limit; count += 1) {
    const next = sendAppendTo(sent.state, to, nowMs);
    if (next.effects.length === 0) break;
    sent = { state: next.state, effects: [...sent.effects, ...next.effects] };
  }
  return sent;
}

/**
 * Commits up to the last entry that a quorum holds, if it is of the current
 * term.
 */
function commitReplicated(
  transition: replicaStates.Transition,
): replicaStates.Transition {
  const { state } = transition;
  if (state.role.kind !== "leader") return transition;
  const matches = replicaStates.listAdmittedProgress(state).map((progress) =>
    progress.matchIndex
  );
  const own = replicaStates.isVoter(state)
    ? [replicaLogs.getLastIndex(state.log)]
    : [];
  const sorted = [...own, ...matches].sort((a, b) => b - a);
  const index = sorted[replicaStates.getQuorumSize(state) - 1] ?? 0;
  if (replicaLogs.getTermAt(state.log, index) !== state.term) return transition;
  const committed = commits.advanceCommitIndex(state, index);
  return {
    state: committed.state,
    effects: [...transition.effects, ...committed.effects],
  };
}

/** Appends commands to the leader's log and replicates them. */
export function proposeCommands(
  state: replicaStates.ReplicaState,
  commands: readonly unknown[],
  nowMs: number,
): replicaStates.Transition {
  if (state.role.kind !== "leader") return { state, effects: [] };
  const firstIndex = replicaLogs.getLastIndex(state.log) + 1;
  const entries = commands.map((command, offset): replicaLogs.Entry => ({
    index: firstIndex + offset,
    term: state.term,
    command,
  }));
  const log = replicaLogs.appendEntries(state.log, entries);
  const sent = sendAppends({ ...state, log }, nowMs);
  return {
    state: sent.state,
    effects: [{ kind: "saveEntries", entries }, ...sent.effects],
  };
}

/**
 * Adjusts the batch size of a catching-up follower that has confirmed entries.
 */
function updateCatchUpBatch(
  state: replicaStates.ReplicaState,
  from: string,
  before: replicaStates.Progress,
  nowMs: number,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader" || before.identity.isAdmitted) return state;
  const progress = role.progress.get(from);
  if (progress === undefined) return state;
  if (progress.matchIndex <= before.matchIndex) return state;
  const lag = replicaLogs.getLastIndex(state.log) - progress.matchIndex;
  const entriesGained = (before.catchUpLagEntries ?? Number.POSITIVE_INFINITY) -
    lag;
  const feedEntries = appendWindows.updateBatchSize(
    state,
    before,
    entriesGained,
    nowMs,
  );
  const next = new Map([
    ...role.progress,
    [from, {
      ...progress,
      catchUpBatchEntries: feedEntries,
      catchUpLagEntries: lag,
    }] as const,
  ]);
  return { ...state, role: { ...role, progress: next } };
}

/**
 * Updates a follower's progress from its reply, sends entries that it still lacks
 * and commits what a quorum now holds.
 */
export function handleAppendReply(
  state: replicaStates.ReplicaState,
  from: string,
  reply: messages.AppendReply,
  nowMs: number,
): replicaStates.Transition {
  const { role } = state;
  if (role.kind !== "leader" || reply.term !== state.term) {
    return { state, effects: [] };
  }
  const known = role.progress.get(from);
  if (known === undefined) return { state, effects: [] };
  if (reply.identity.incarnation < known.identity.incarnation) {
    return staleIncarnations.handleStaleReply(state, from, known, reply);
  }
  const old = progresses.resetForNewIncarnation(known, reply);
  const progress = progresses.recordReply(old, reply, state.log, nowMs);
  const map = new Map([...role.progress, [from, progress] as const]);
  const updated: replicaStates.ReplicaState = {
    ...state,
    role: { ...role, progress: map },
  };
  const isBehind = progress.nextIndex <= replicaLogs.getLastIndex(state.log);
  const sent = isBehind
    ? sendMissing(updated, from, progress.identity.isAdmitted, nowMs)
    : { state: updated, effects: NO_EFFECTS };
  const adapted = updateCatchUpBatch(sent.state, from, old, nowMs);
  const advanced = commitReplicated({ ...sent, state: adapted });
  if (advanced.state.commitIndex === state.commitIndex) return advanced;
  return { ...advanced, state: advanceHeartbeat(advanced.state, nowMs) };
}

/** Updates a follower's progress from the parts of a snapshot that it confirmed. */
export function recordSnapshotParts(
  state: replicaStates.ReplicaState,
  { from, wholeIndex }: replicaStates.SnapshotConfirmed,
  nowMs: number,
): replicaStates.Transition {
  const { role } = state;
  if (role.kind !== "leader") return { state, effects: [] };
  const known = role.progress.get(from);
  if (known === undefined) return { state, effects: [] };
  const updated = progresses.recordSnapshotParts(known, wholeIndex, nowMs);
  const progress = new Map([...role.progress, [from, updated] as const]);
  return { state: { ...state, role: { ...role, progress } }, effects: [] };
}

/** Moves the next heartbeat forward to announce a new commit index soon. */
function advanceHeartbeat(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader") return state;
  const heartbeatAtMs = Math.min(
    role.nextHeartbeatAtMs,
    nowMs + MAX_COMMIT_DELAY_MS,
  );
  return { ...state, role: { ...role, nextHeartbeatAtMs: heartbeatAtMs } };
}
