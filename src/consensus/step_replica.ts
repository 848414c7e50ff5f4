import * as contactGaps from "./_contact_gap.ts";
import * as leaderLeases from "./leader_lease.ts";
import * as formerLeaders from "./_former_leader.ts";
import * as elections from "./_election.ts";
import * as electionTimers from "./_election_timer.ts";
import * as followers from "./_follow.ts";
import * as handovers from "./_handover.ts";
import * as memberships from "./_membership.ts";
import * as replications from "./_replication.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";

/** The persistent state of a replica. */
export interface SavedReplica {
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly identity: messages.ReplicaIdentity;
  readonly log: replicaLogs.ReplicaLog;
}

/** The state of a replica in a newly initialized data folder. */
export const EMPTY_REPLICA: SavedReplica = {
  term: 0,
  votedFor: undefined,
  identity: { incarnation: 0, isAdmitted: true },
  log: replicaLogs.EMPTY_LOG,
};

/**
 * Creates a replica from its saved state. It refuses votes for one election
 * timeout, since a leader it heard from just before the restart may still hold a
 * lease; only that leader is exempt.
 *
 * @param config The configuration.
 * @param saved The saved state.
 * @param nowMs Monotonic time, in ms.
 * @returns The replica as a follower.
 */
export function createReplica(
  config: replicaStates.ReplicaConfig,
  saved: SavedReplica,
  nowMs: number,
): replicaStates.ReplicaState {
  const leader = formerLeaders.findLeader(saved.log, saved.term);
  const earlyElectionUntilMs = nowMs + config.electionTimeoutMs;
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
    isElectionDeferred: false,
    leaderContactAtMs: nowMs,
    leaderContacts: contactGaps.NO_CONTACTS,
    electionDelayCount: 0,
    formerLeader: leader === undefined ? undefined : {
      id: leader,
      term: saved.term,
      earlyElectionUntilMs,
    },
  };
  return electionTimers.resetElectionTimer(state, nowMs);
}

/**
 * Processes one event as a pure function, without I/O.
 *
 * @param state The replica.
 * @param event The event.
 * @param nowMs Monotonic time, in ms.
 * @returns The new state and the effects to execute in order: all saves must be
 * on disk before any message is sent.
 */
export function stepReplica(
  state: replicaStates.ReplicaState,
  event: replicaStates.ReplicaEvent,
  nowMs: number,
): replicaStates.Transition {
  switch (event.kind) {
    case "tick":
      return handleTick(state, nowMs);
    case "transfer":
      return handovers.transferLeadership(state, nowMs, event.to);
    case "propose":
      return replications.proposeCommands(state, event.commands, nowMs);
    case "snapshotConfirmed":
      return replications.recordSnapshotParts(state, event, nowMs);
    case "joinGroup":
      return saveIdentity(state, { ...state.identity, groupId: event.groupId });
    case "setLearners":
      return memberships.setLearners(state, event.learners, nowMs);
    case "changeVoters":
      return memberships.changeVoters(state, event.voters, nowMs);
    case "message":
      return handleMessage(state, event.from, event.message, nowMs);
  }
}

function handleTick(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  if (state.role.kind !== "leader") return handleElectionTick(state, nowMs);
  const awake = dropPause(state, nowMs);
  if (hasLostQuorum(awake, nowMs)) return resetToFollower(awake, nowMs);
  if (nowMs < state.role.nextHeartbeatAtMs) return { state, effects: [] };
  return replications.sendAppends(awake, nowMs);
}

/**
 * Leaves a pause of the leader's own process, which a late tick shows, out of the
 * followers' silence: replies that arrived meanwhile are still to be read.
 */
function dropPause(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.ReplicaState {
  const { role, config } = state;
  if (role.kind !== "leader") return state;
  const pausedMs = nowMs - role.nextHeartbeatAtMs;
  if (pausedMs <= config.heartbeatMs) return state;
  const progress = new Map(
    [...role.progress].map(([id, item]) => {
      const { lastReplyAtMs } = item;
      if (lastReplyAtMs === undefined) return [id, item] as const;
      const repliedAtMs = Math.min(nowMs, lastReplyAtMs + pausedMs);
      return [id, { ...item, lastReplyAtMs: repliedAtMs }] as const;
    }),
  );
  const leaderSinceMs = Math.min(nowMs, role.leaderSinceMs + pausedMs);
  return { ...state, role: { ...role, progress, leaderSinceMs } };
}

/**
 * Reports whether a leader has no contact to a quorum for too long. A new leader
 * waits for first replies as long as it would have waited for a leader.
 */
function hasLostQuorum(
  state: replicaStates.ReplicaState,
  nowMs: number,
): boolean {
  if (state.role.kind !== "leader") return false;
  const graceMs = state.config.electionTimeoutMs;
  const { getLeaseExpiryMs, NEVER_SUSPENDED } = leaderLeases;
  const leaseExpiryMs = getLeaseExpiryMs(state, nowMs, NEVER_SUSPENDED);
  const { gap } = state.leaderContacts;
  const extraMs = contactGaps.getExtraMs(gap, graceMs, nowMs);
  return nowMs >= state.role.leaderSinceMs + graceMs + extraMs &&
    nowMs >= leaseExpiryMs + graceMs &&
    !leaderLeases.hasQuorumContact(state, nowMs);
}

/**
 * Starts an election once one is due. After a pause of this process, the messages
 * that arrived meanwhile are read first.
 */
function handleElectionTick(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const { electionAtMs, isElectionDeferred, config } = state;
  if (nowMs < electionAtMs) return { state, effects: [] };
  if (!replicaStates.isVoter(state)) return resetToFollower(state, nowMs);
  const hasPaused = state.role.kind !== "candidate" &&
    nowMs - electionAtMs > config.heartbeatMs;
  if (!hasPaused || isElectionDeferred) {
    return elections.startPreVote(state, nowMs);
  }
  const deferred = {
    ...state,
    electionAtMs: nowMs + config.heartbeatMs,
    isElectionDeferred: true,
  };
  return { state: deferred, effects: [] };
}

/**
 * Becomes a follower without a known leader, so that callers aren't directed to
 * an unreachable one.
 */
function resetToFollower(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const follower: replicaStates.ReplicaState = {
    ...state,
    role: { kind: "follower" },
  };
  return {
    state: electionTimers.resetElectionTimer(follower, nowMs),
    effects: [],
  };
}

function handleMessage(
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
      return handleRenewRequest(state, message);
    case "appendRequest":
    case "snapshotRequest":
      return handleLeaderMessage(state, from, message, nowMs);
    case "appendReply":
      if (message.term > state.term) {
        return elections.enterTerm(state, message.term);
      }
      return handleAppendReply(state, from, message, nowMs);
  }
}

/** Updates a follower's progress and completes a pending leadership transfer. */
function handleAppendReply(
  state: replicaStates.ReplicaState,
  from: string,
  message: messages.AppendReply,
  nowMs: number,
): replicaStates.Transition {
  const updated = replications.handleAppendReply(state, from, message, nowMs);
  if (!replicaStates.isHandingOver(updated.state, nowMs)) return updated;
  const transferred = handovers.transferLeadership(updated.state, nowMs);
  return {
    state: transferred.state,
    effects: [...updated.effects, ...transferred.effects],
  };
}

/** Adopts a higher incarnation, unless the replica is already admitted. */
function handleRenewRequest(
  state: replicaStates.ReplicaState,
  request: messages.RenewRequest,
): replicaStates.Transition {
  const { incarnation, isAdmitted } = state.identity;
  const mustRenew = request.term === state.term && !isAdmitted &&
    incarnation < request.incarnation;
  if (!mustRenew) return { state, effects: [] };
  return saveIdentity(state, {
    ...state.identity,
    incarnation: request.incarnation + 1,
  });
}

function saveIdentity(
  state: replicaStates.ReplicaState,
  identity: messages.ReplicaIdentity,
): replicaStates.Transition {
  return {
    state: { ...state, identity },
    effects: [{ kind: "saveIdentity", identity }],
  };
}

function handleLeaderMessage(
  state: replicaStates.ReplicaState,
  from: string,
  message: messages.AppendRequest | messages.SnapshotRequest,
  nowMs: number,
): replicaStates.Transition {
  const leaderContacts = contactGaps.recordContact(
    state.leaderContacts,
    message,
    nowMs,
  );
  if (message.term < state.term) {
    return rejectStaleLeader({ ...state, leaderContacts }, from, message);
  }
  const entered = elections.enterTerm(state, message.term, from);
  const updated = electionTimers.resetElectionTimer(
    {
      ...entered.state,
      leaderContactAtMs: nowMs,
      leaderContacts,
    },
    nowMs,
  );
  const accepted = message.kind === "appendRequest"
    ? followers.acceptAppend(updated, from, message)
    : followers.acceptSnapshot(updated, from, message);
  return {
    state: accepted.state,
    effects: [...entered.effects, ...accepted.effects],
  };
}

function rejectStaleLeader(
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
