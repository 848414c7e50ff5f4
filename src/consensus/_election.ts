import * as leaderLeases from "./leader_lease.ts";
import * as electionTimers from "./_election_timer.ts";
import * as formerLeaders from "./_former_leader.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replications from "./_replication.ts";
import * as replicaStates from "./replica_state.ts";

/**
 * Becomes a follower in a term; a change of term is saved and clears the vote.
 */
export function enterTerm(
  state: replicaStates.ReplicaState,
  term: number,
  leader?: string,
): replicaStates.Transition {
  const role = leader === undefined
    ? { kind: "follower" as const }
    : { kind: "follower" as const, leader };
  if (term === state.term) return { state: { ...state, role }, effects: [] };
  return {
    state: { ...state, term, votedFor: undefined, role },
    effects: [{ kind: "saveVote", term, votedFor: undefined }],
  };
}

/** Purpose of a vote request. */
type VoteKind = "preVote" | "vote" | "transfer";

function createVoteRequests(
  state: replicaStates.ReplicaState,
  term: number,
  kind: VoteKind,
): readonly replicaStates.Effect[] {
  const lastIndex = replicaLogs.getLastIndex(state.log);
  const lastTerm = replicaLogs.getTermAt(state.log, lastIndex) ?? 0;
  const message: messages.VoteRequest = {
    kind: "voteRequest",
    term,
    isPreVote: kind === "preVote",
    isTransfer: kind === "transfer",
    lastIndex,
    lastTerm,
  };
  return replicaStates.listOtherVoters(state).map((to) => ({
    kind: "send",
    to,
    message,
  }));
}

/**
 * Starts a pre-vote, which finds out whether an election could be won without
 * raising the term.
 */
export function startPreVote(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const votes = new Set([state.config.id]);
  const next = electionTimers.resetPreVoteTimer(
    { ...state, role: { kind: "preCandidate", votes } },
    nowMs,
  );
  if (votes.size >= replicaStates.getQuorumSize(state)) {
    return startElection(next, nowMs);
  }
  return {
    state: next,
    effects: createVoteRequests(next, state.term + 1, "preVote"),
  };
}

function startElection(
  state: replicaStates.ReplicaState,
  nowMs: number,
  kind: VoteKind = "vote",
): replicaStates.Transition {
  const term = state.term + 1;
  const votes = new Set([state.config.id]);
  const votedFor = state.config.id;
  const next = electionTimers.limitCandidacy(
    { ...state, term, votedFor, role: { kind: "candidate", votes } },
    nowMs,
  );
  const save: replicaStates.Effect = { kind: "saveVote", term, votedFor };
  if (votes.size >= replicaStates.getQuorumSize(state)) {
    const won = startLeadership(next, nowMs);
    return { state: won.state, effects: [save, ...won.effects] };
  }
  return {
    state: next,
    effects: [save, ...createVoteRequests(next, term, kind)],
  };
}

function startLeadership(
  state: replicaStates.ReplicaState,
  nowMs: number,
): replicaStates.Transition {
  const firstIndex = replicaLogs.getLastIndex(state.log) + 1;
  const command: formerLeaders.NoOperation = {
    kind: "noOperation",
    leader: state.config.id,
  };
  const entry = { index: firstIndex, term: state.term, command };
  const first = replicaStates.createProgress(firstIndex);
  const progress = new Map(
    replicaStates.listFollowers(state).map((id) => [id, first] as const),
  );
  const leading: replicaStates.ReplicaState = {
    ...state,
    log: replicaLogs.appendEntries(state.log, [entry]),
    role: {
      kind: "leader",
      progress,
      admitting: new Map(),
      nextHeartbeatAtMs: nowMs,
      termStartIndex: firstIndex,
      leaderSinceMs: nowMs,
    },
  };
  const sent = replications.sendAppends(leading, nowMs);
  return {
    state: sent.state,
    effects: [{ kind: "saveEntries", entries: [entry] }, ...sent.effects],
  };
}

function isUpToDate(
  state: replicaStates.ReplicaState,
  request: messages.VoteRequest,
): boolean {
  const lastIndex = replicaLogs.getLastIndex(state.log);
  const lastTerm = replicaLogs.getTermAt(state.log, lastIndex) ?? 0;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
}

function hasRecentLeader(
  state: replicaStates.ReplicaState,
  nowMs: number,
): boolean {
  if (state.role.kind === "leader") {
    return nowMs < leaderLeases.getLeaseExpiryMs(
      state,
      nowMs,
      leaderLeases.NEVER_SUSPENDED,
    );
  }
  return nowMs < state.leaderContactAtMs + state.config.electionTimeoutMs;
}

/**
 * Finds a reason to refuse a vote that does not depend on the candidate's log.
 */
function findRefusal(
  state: replicaStates.ReplicaState,
  from: string,
  request: messages.VoteRequest,
  nowMs: number,
): messages.VoteRefusal | undefined {
  const isBlocked = !request.isTransfer && hasRecentLeader(state, nowMs) &&
    !formerLeaders.isKnownLeader(state, from);
  if (isBlocked) return "leaderHeard";
  if (request.term < state.term) return "oldTerm";
  return state.identity.isAdmitted ? undefined : "notAdmitted";
}

/**
 * Grants or refuses a vote. Requests received while a leader is active are refused
 * without adopting their term, so that they do not depose it.
 */
export function handleVoteRequest(
  state: replicaStates.ReplicaState,
  from: string,
  request: messages.VoteRequest,
  nowMs: number,
): replicaStates.Transition {
  const { isPreVote, term } = request;
  const refusal = findRefusal(state, from, request, nowMs);
  if (refusal !== undefined) {
    return refuseVote(state, from, isPreVote, refusal);
  }
  if (isPreVote) {
    if (term <= state.term) return refuseVote(state, from, true, "oldTerm");
    if (!isUpToDate(state, request)) {
      return refuseVote(state, from, true, "logBehind");
    }
    return {
      state: dropPreVote(state, from, request, nowMs),
      effects: [
        createVoteReply(from, { term, isPreVote: true, isGranted: true }),
      ],
    };
  }
  const entered = term > state.term
    ? enterTerm(state, term)
    : { state, effects: [] };
  const current = entered.state;
  const canVote = current.votedFor === undefined || current.votedFor === from;
  if (!canVote || !isUpToDate(current, request)) {
    const refused = refuseVote(
      current,
      from,
      false,
      canVote ? "logBehind" : "votedOther",
    );
    return { ...refused, effects: [...entered.effects, ...refused.effects] };
  }
  const voted = electionTimers.resetElectionTimer({
    ...current,
    votedFor: from,
  }, nowMs);
  return {
    state: voted,
    effects: [
      { kind: "saveVote", term, votedFor: from },
      createVoteReply(from, { term, isPreVote: false, isGranted: true }),
    ],
  };
}

/**
 * Ends the pre-vote of this replica in favour of another pre-candidate with more
 * entries, or as many and a lower id; else both could split the votes that follow.
 */
function dropPreVote(
  state: replicaStates.ReplicaState,
  to: string,
  request: messages.VoteRequest,
  nowMs: number,
): replicaStates.ReplicaState {
  if (state.role.kind !== "preCandidate") return state;
  const lastIndex = replicaLogs.getLastIndex(state.log);
  const hasSameLog = request.lastIndex === lastIndex &&
    request.lastTerm === replicaLogs.getTermAt(state.log, lastIndex);
  if (hasSameLog && to > state.config.id) return state;
  return electionTimers.resetPreVoteTimer({
    ...state,
    role: { kind: "follower" },
  }, nowMs);
}

function refuseVote(
  state: replicaStates.ReplicaState,
  from: string,
  isPreVote: boolean,
  refusal: messages.VoteRefusal,
): replicaStates.Transition {
  return {
    state,
    effects: [
      createVoteReply(from, {
        term: state.term,
        isPreVote,
        isGranted: false,
        refusal,
      }),
    ],
  };
}

function createVoteReply(
  to: string,
  reply: Omit<messages.VoteReply, "kind">,
): replicaStates.Effect {
  return { kind: "send", to, message: { kind: "voteReply", ...reply } };
}

/**
 * Counts a vote; a quorum of pre-votes starts the election, and a quorum of votes
 * wins it. A refusal with a higher term makes this replica a follower.
 */
export function handleVoteReply(
  state: replicaStates.ReplicaState,
  from: string,
  reply: messages.VoteReply,
  nowMs: number,
): replicaStates.Transition {
  if (!reply.isGranted) {
    if (reply.term > state.term) return enterTerm(state, reply.term);
    return { state, effects: [] };
  }
  const { role } = state;
  const expected = reply.isPreVote ? "preCandidate" : "candidate";
  const term = reply.isPreVote ? state.term + 1 : state.term;
  if (role.kind !== expected || reply.term !== term) {
    return { state, effects: [] };
  }
  if (role.kind !== "preCandidate" && role.kind !== "candidate") {
    return { state, effects: [] };
  }
  // Votes of a candidacy that is over may come from a life that ended since.
  const isOver = role.kind === "candidate" && nowMs >= state.electionAtMs;
  if (isOver) return { state, effects: [] };
  if (!replicaStates.listVoters(state).includes(from)) {
    return { state, effects: [] };
  }
  const votes = new Set([...role.votes, from]);
  const counted: replicaStates.ReplicaState = {
    ...state,
    role: { ...role, votes },
  };
  if (votes.size < replicaStates.getQuorumSize(state)) {
    return { state: counted, effects: [] };
  }
  return reply.isPreVote
    ? startElection(counted, nowMs)
    : startLeadership(counted, nowMs);
}

/**
 * Starts an election without a pre-vote. Requests of any term but the current
 * one are ignored: in a later term another replica may already lead.
 */
export function handleTransferRequest(
  state: replicaStates.ReplicaState,
  request: messages.TransferRequest,
  nowMs: number,
): replicaStates.Transition {
  const canLead = state.role.kind === "follower" &&
    replicaStates.isVoter(state);
  if (request.term !== state.term || !canLead) {
    return { state, effects: [] };
  }
  return startElection(state, nowMs, "transfer");
}
