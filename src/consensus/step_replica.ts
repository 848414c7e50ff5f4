import * as authorities from "./authority.ts";
import * as formerLeaders from "./_former_leader.ts";
import * as elections from "./_election.ts";
import * as follows from "./_follow.ts";
import * as handovers from "./_handover.ts";
import * as memberships from "./_membership.ts";
import * as replications from "./_replication.ts";
import * as latenesses from "./_heartbeat_gap.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/** What a replica finds on its disk. */
export interface SavedReplica {
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly identity: messages.ReplicaIdentity;
  readonly log: replicaLogs.ReplicaLog;
}

/** What a replica finds in a folder that was made for a first start. */
export const EMPTY_REPLICA: SavedReplica = {
  term: 0,
  votedFor: undefined,
  identity: { incarnation: 0, isAdmitted: true },
  log: replicaLogs.EMPTY_LOG,
};

/**
 * Starts a replica from what it saved. It gives no vote for one election
 * timeout, since it may have heard a leader just before it stopped; only that
 * leader itself may have it.
 *
 * @param config The configuration.
 * @param saved What was on disk.
 * @param nowMs Monotonic time, in ms.
 * @returns The replica as a follower.
 */
export function createReplica(
  config: replicaStates.ReplicaConfig,
  saved: SavedReplica,
  nowMs: number,
): replicaStates.ReplicaState {
  const leader = formerLeaders.findLeader(saved.log, saved.term);
  const hurryUntilMs = nowMs + config.electionTimeoutMs;
  const state: replicaStates.ReplicaState = {
    config,
    term: saved.term,
    votedFor: saved.votedFor,
    identity: saved.identity,
    learners: [],
    role: { kind: "follower" },
    log: saved.log,
    commitIndex: saved.log.snapshotIndex,
    electionAtMs: 0,
    heardAtMs: nowMs,
    lateness: { term: 0, gapMs: 0 },
    draws: 0,
    former: leader === undefined
      ? undefined
      : { id: leader, term: saved.term, hurryUntilMs },
  };
  return elections.resetElectionTimer(state, nowMs);
}

/**
 * Moves a replica by one event. Nothing is written or sent here.
 *
 * @param state The replica.
 * @param event What happened.
 * @param nowMs Monotonic time, in ms.
 * @returns The new state, and effects to carry out in order: all saves must
 * be on disk before anything is sent.
 */
export function stepReplica(
  state: replicaStates.ReplicaState,
  event: replicaStates.ReplicaEvent,
  nowMs: number,
): replicaStates.Transition {
  switch (event.kind) {
    case "tick":
      return stepTick(state, nowMs);
    case "transfer":
      return handovers.transferLeadership(state, nowMs, event.to);
    case "propose":
      return replications.proposeCommands(state, event.commands, nowMs);
    case "setLearners":
      return memberships.setLearners(state, event.learners, nowMs);
    case "changeVoters":
      return memberships.changeVoters(state, event.voters, nowMs);
    case "message":
      return stepMessage(state, event.from, event.message, nowMs);
  }
}

function stepTick(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  if (state.role.kind !== "leader") {
    if (nowMs < state.electionAtMs) return { state, effects: [] };
    if (!replicaStates.isVoter(state)) return leaveLeader(state, nowMs);
    return elections.startPreVote(state, nowMs);
  }
  const graceMs = state.config.electionTimeoutMs;
  const isNew = nowMs < state.role.sinceMs + graceMs;
  const { getAuthorityUntilMs, NEVER_SUSPENDED } = authorities;
  const untilMs = getAuthorityUntilMs(state, nowMs, NEVER_SUSPENDED);
  const isLost = nowMs >= untilMs + graceMs &&
    !authorities.isAnswered(state, nowMs);
  if (!isNew && isLost) return leaveLeader(state, nowMs);
  if (nowMs < state.role.heartbeatAtMs) return { state, effects: [] };
  return replications.sendAppends(state, nowMs);
}

/** Follows nobody: a leader named after it fell silent steers callers to it. */
function leaveLeader(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const follower: replicaStates.ReplicaState = {
    ...state,
    role: { kind: "follower" },
  };
  return { state: elections.resetElectionTimer(follower, nowMs), effects: [] };
}

function stepMessage(
  state: replicaStates.ReplicaState,
  from: string,
  message: messages.Message,
  nowMs: number,
): replicaStates.Transition {
  switch (message.kind) {
    case "voteRequest":
      return elections.handleVoteRequest(state, from, message, nowMs);
    case "voteReply":
      return elections.handleVoteReply(state, from, message, nowMs);
    case "transferRequest":
      return elections.handleTransferRequest(state, message, nowMs);
    case "renewRequest":
      return renewIdentity(state, message);
    case "appendRequest":
    case "snapshotRequest":
      return followLeader(state, from, message, nowMs);
    case "appendReply":
      if (message.term > state.term) {
        return elections.enterTerm(state, message.term);
      }
      return handleAnswer(state, from, message, nowMs);
  }
}

/** Notes an answer; a leader that waits for a successor hands over with it. */
function handleAnswer(
  state: replicaStates.ReplicaState,
  from: string,
  message: messages.AppendReply,
  nowMs: number,
): replicaStates.Transition {
  const noted = replications.handleAppendReply(state, from, message, nowMs);
  if (!replicaStates.isHandingOver(noted.state, nowMs)) return noted;
  const handed = handovers.transferLeadership(noted.state, nowMs);
  return {
    state: handed.state,
    effects: [...noted.effects, ...handed.effects],
  };
}

/** Takes an incarnation above the former self's, unless it counts already. */
function renewIdentity(
  state: replicaStates.ReplicaState,
  request: messages.RenewRequest,
): replicaStates.Transition {
  const { incarnation, isAdmitted } = state.identity;
  const isDue = request.term === state.term && !isAdmitted &&
    incarnation < request.incarnation;
  if (!isDue) return { state, effects: [] };
  const identity = { incarnation: request.incarnation + 1, isAdmitted };
  return {
    state: { ...state, identity },
    effects: [{ kind: "saveIdentity", identity }],
  };
}

function followLeader(
  state: replicaStates.ReplicaState,
  from: string,
  message: messages.AppendRequest | messages.SnapshotRequest,
  nowMs: number,
): replicaStates.Transition {
  if (message.term < state.term) return refuseLeader(state, from, message);
  const entered = elections.enterTerm(state, message.term, from);
  const heard = elections.resetElectionTimer(
    {
      ...entered.state,
      heardAtMs: nowMs,
      lateness: latenesses.recordHeartbeat(state, message.term, nowMs),
    },
    nowMs,
  );
  const accepted = message.kind === "appendRequest"
    ? follows.acceptAppend(heard, from, message)
    : follows.acceptSnapshot(heard, from, message);
  return {
    state: accepted.state,
    effects: [...entered.effects, ...accepted.effects],
  };
}

function refuseLeader(
  state: replicaStates.ReplicaState,
  to: string,
  message: messages.AppendRequest | messages.SnapshotRequest,
): replicaStates.Transition {
  const reply: messages.Message = {
    kind: "appendReply",
    term: state.term,
    isMatch: false,
    index: 0,
    sentAtMs: message.sentAtMs,
    identity: state.identity,
  };
  return { state, effects: [{ kind: "send", to, message: reply }] };
}
