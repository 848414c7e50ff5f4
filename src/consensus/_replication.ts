import * as appendRequests from "./_append_requests.ts";
import * as feedings from "./_feeding.ts";
import * as formerSelves from "./_former_self.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Time in which followers are told of a commit, in ms. A read at a follower
 * waits for it; by heartbeats alone it took up to 90 ms. Commits that come in
 * between go along.
 */
const COMMIT_NEWS_MS = 15;

const NO_TRANSITION_EFFECTS: readonly replicaStates.Effect[] = [];

/** Sends each follower what it lacks and may be sent, or a heartbeat. */
export function sendAppends(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const { role } = state;
  if (role.kind !== "leader") return { state, effects: [] };
  const sent = appendRequests.createAppends(state, role.progress, nowMs);
  const progress = new Map(sent.map(([to, append]) => [to, append.progress]));
  const heartbeatAtMs = nowMs + state.config.heartbeatMs;
  const next = { ...state, role: { ...role, progress, heartbeatAtMs } };
  return advanceCommit({
    state: next,
    effects: sent.map(([, append]) => append.effect),
  });
}

/** Sends a follower what it lacks, unless it may not be sent more now. */
function sendAppendTo(
  state: replicaStates.ReplicaState,
  to: string,
  nowMs: number,
): replicaStates.Transition {
  const { role } = state;
  if (role.kind !== "leader") return { state, effects: [] };
  const progress = role.progress.get(to);
  if (progress === undefined) return { state, effects: [] };
  const count = feedings.countSendable(state, to, progress, nowMs);
  if (count === 0) return { state, effects: [] };
  const message = appendRequests.createRequest(
    state,
    progress.nextIndex,
    count,
    nowMs,
  );
  const sent = appendRequests.createAppend(state, to, progress, message);
  const next = new Map([...role.progress, [to, sent.progress] as const]);
  return {
    state: { ...state, role: { ...role, progress: next } },
    effects: [sent.effect],
  };
}

function advanceCommit(
  transition: replicaStates.Transition,
): replicaStates.Transition {
  const { state } = transition;
  if (state.role.kind !== "leader") return transition;
  const matches = replicaStates.listAdmitted(state).map((progress) =>
    progress.matchIndex
  );
  const own = replicaStates.isVoter(state)
    ? [replicaLogs.getLastIndex(state.log)]
    : [];
  const sorted = [...own, ...matches].sort((a, b) => b - a);
  const index = sorted[replicaStates.getQuorum(state) - 1] ?? 0;
  if (replicaLogs.getTermAt(state.log, index) !== state.term) return transition;
  const committed = commitTo(state, index);
  return {
    state: committed.state,
    effects: [...transition.effects, ...committed.effects],
  };
}

function commitTo(
  state: replicaStates.ReplicaState,
  index: number,
): replicaStates.Transition {
  if (index <= state.commitIndex) {
    return { state, effects: NO_TRANSITION_EFFECTS };
  }
  const count = index - state.commitIndex;
  const entries = replicaLogs.getEntries(
    state.log,
    state.commitIndex + 1,
    count,
  );
  return {
    state: { ...state, commitIndex: index },
    effects: [{ kind: "commit", entries }],
  };
}

/** Adds commands to the leader's log and sends them on. */
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

function findNewEntries(
  log: replicaLogs.ReplicaLog,
  entries: readonly replicaLogs.Entry[],
): readonly replicaLogs.Entry[] {
  const first = entries.findIndex((entry) =>
    entry.index > log.snapshotIndex &&
    replicaLogs.getTermAt(log, entry.index) !== entry.term
  );
  return first < 0 ? [] : entries.slice(first);
}

function createAppendReply(
  to: string,
  reply: Omit<messages.AppendReply, "kind">,
): replicaStates.Effect {
  return { kind: "send", to, message: { kind: "appendReply", ...reply } };
}

/** Takes entries from the leader of the replica's term. */
export function acceptAppend(
  state: replicaStates.ReplicaState,
  from: string,
  request: messages.AppendRequest,
): replicaStates.Transition {
  const { term, sentAtMs, previousIndex, entries } = request;
  const isCovered = previousIndex < state.log.snapshotIndex;
  const isMatch = isCovered ||
    replicaLogs.getTermAt(state.log, previousIndex) === request.previousTerm;
  if (!isMatch) {
    const index = Math.min(
      replicaLogs.getLastIndex(state.log),
      previousIndex - 1,
    );
    const { identity } = state;
    return {
      state,
      effects: [
        createAppendReply(from, { term, isMatch, index, sentAtMs, identity }),
      ],
    };
  }
  const added = findNewEntries(state.log, entries);
  const log = replicaLogs.appendEntries(state.log, added);
  const index = Math.max(previousIndex + entries.length, log.snapshotIndex);
  const committed = commitTo(
    { ...state, log },
    Math.min(request.commitIndex, index),
  );
  const saves: readonly replicaStates.Effect[] = added.length === 0
    ? []
    : [{ kind: "saveEntries", entries: added }];
  const admitted = admitReplica(committed.state, request, index);
  const { identity } = admitted.state;
  const reply = createAppendReply(from, {
    term,
    isMatch,
    index,
    sentAtMs,
    identity,
  });
  return {
    state: admitted.state,
    effects: [...saves, ...admitted.effects, reply, ...committed.effects],
  };
}

/**
 * Lets a new replica count once it holds all that a leader, sure of its own
 * term, has committed: then it lacks nothing that its former self vouched for.
 */
function admitReplica(
  state: replicaStates.ReplicaState,
  request: messages.AppendRequest,
  index: number,
): replicaStates.Transition {
  const isCurrent = request.isEstablished && index >= request.commitIndex;
  if (state.identity.isAdmitted || !isCurrent) return { state, effects: [] };
  const identity = { ...state.identity, isAdmitted: true };
  return {
    state: { ...state, identity },
    effects: [{ kind: "saveIdentity", identity }],
  };
}

/** Takes a snapshot from the leader of the replica's term. */
export function acceptSnapshot(
  state: replicaStates.ReplicaState,
  from: string,
  request: messages.SnapshotRequest,
): replicaStates.Transition {
  const { snapshot, term, sentAtMs } = request;
  const { identity } = state;
  const { index } = snapshot;
  function createReply(matched: number): replicaStates.Effect {
    return createAppendReply(from, {
      term,
      isMatch: true,
      index: matched,
      sentAtMs,
      identity,
    });
  }
  if (index <= state.commitIndex) {
    return { state, effects: [createReply(state.commitIndex)] };
  }
  // A late snapshot must not take away entries after it that were confirmed.
  if (replicaLogs.getTermAt(state.log, index) === snapshot.term) {
    const committed = commitTo(state, index);
    return {
      state: committed.state,
      effects: [createReply(index), ...committed.effects],
    };
  }
  const log = replicaLogs.createLog(snapshot);
  return {
    state: { ...state, log, commitIndex: index },
    effects: [{ kind: "restore", snapshot }, createReply(index)],
  };
}

/**
 * Goes back to where a follower's log ends. Only once for all that was sent
 * before: each of those messages is answered like the first one, and going back
 * for each sends the same entries again and again.
 */
function moveBack(
  progress: replicaStates.Progress,
  reply: messages.AppendReply,
  nowMs: number,
): replicaStates.Progress {
  const { rewoundAtMs = Number.NEGATIVE_INFINITY, matchIndex } = progress;
  if (reply.sentAtMs < rewoundAtMs) return progress;
  return {
    ...progress,
    nextIndex: Math.max(matchIndex, reply.index) + 1,
    rewoundAtMs: nowMs,
  };
}

/** Notes how far a follower is, and sends what it still lacks. */
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
    return formerSelves.refuseAnswer(state, from, known, reply);
  }
  const old = formerSelves.forgetFormerSelf(known, reply);
  const answeredSentAtMs = Math.max(old.answeredSentAtMs, reply.sentAtMs);
  const { identity } = reply;
  const heard = { ...old, identity, answeredSentAtMs };
  const progress: replicaStates.Progress = reply.isMatch
    ? {
      ...heard,
      matchIndex: Math.max(old.matchIndex, reply.index),
      nextIndex: Math.max(old.nextIndex, reply.index + 1),
    }
    : moveBack(heard, reply, nowMs);
  const map = new Map([...role.progress, [from, progress] as const]);
  const noted: replicaStates.ReplicaState = {
    ...state,
    role: { ...role, progress: map },
  };
  const isBehind = progress.nextIndex <= replicaLogs.getLastIndex(state.log);
  const sent = isBehind
    ? sendAppendTo(noted, from, nowMs)
    : { state: noted, effects: NO_TRANSITION_EFFECTS };
  const advanced = advanceCommit(sent);
  if (advanced.state.commitIndex === state.commitIndex) return advanced;
  return { ...advanced, state: advanceHeartbeat(advanced.state, nowMs) };
}

/** Has the next heartbeat, which tells what is committed, go out soon. */
function advanceHeartbeat(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader") return state;
  const heartbeatAtMs = Math.min(role.heartbeatAtMs, nowMs + COMMIT_NEWS_MS);
  return { ...state, role: { ...role, heartbeatAtMs } };
}
