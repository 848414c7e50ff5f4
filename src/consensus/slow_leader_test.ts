import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * On overloaded boxes heartbeats and replies can take longer than the election
 * timeout. Followers then started elections and leaders stepped down repeatedly,
 * and no leader lasted long enough to bring a wiped replica up to date.
 */

const ELECTION_TIMEOUT_MS = 450;
const HEARTBEAT_MS = 90;
/** Interval between arriving heartbeats of a slow leader, in ms. */
const SLOW_INTERVAL_MS = 800;
const TICK_MS = 10;
const HEARTBEATS = 12;

const CONFIG = {
  ...leaderFixtures.CONFIG,
  electionTimeoutMs: ELECTION_TIMEOUT_MS,
  heartbeatMs: HEARTBEAT_MS,
};

function createHeartbeat(sentAtMs: number): messages.AppendRequest {
  return {
    kind: "appendRequest",
    term: 1,
    previousIndex: 0,
    previousTerm: 0,
    entries: [],
    commitIndex: 0,
    isEstablished: false,
    sentAtMs,
  };
}

/** Returns the times of a follower's vote requests, in ms, and its last state. */
function simulateFollower(intervalMs: number, heartbeats: number) {
  let state = stepReplica.createReplica(
    CONFIG,
    { ...stepReplica.EMPTY_REPLICA, term: 1 },
    0,
  );
  const voteRequestTimesMs: number[] = [];
  for (
    let nowMs = TICK_MS;
    nowMs <= intervalMs * heartbeats;
    nowMs += TICK_MS
  ) {
    const event: replicaStates.ReplicaEvent = nowMs % intervalMs === 0
      ? { kind: "message", from: "b", message: createHeartbeat(nowMs) }
      : { kind: "tick" };
    const { state: next, effects } = stepReplica.stepReplica(
      state,
      event,
      nowMs,
    );
    state = next;
    const hasRequestedVotes = effects.some((effect) =>
      effect.kind === "send" && effect.message.kind === "voteRequest"
    );
    if (hasRequestedVotes) voteRequestTimesMs.push(nowMs);
  }
  return { state, voteRequestTimesMs };
}

/** Ticks a replica each `TICK_MS`. */
function tickUntil(
  state: replicaStates.ReplicaState,
  fromMs: number,
  untilMs: number,
): replicaStates.ReplicaState {
  let next = state;
  for (let nowMs = fromMs + TICK_MS; nowMs <= untilMs; nowMs += TICK_MS) {
    next = stepReplica.stepReplica(next, { kind: "tick" }, nowMs).state;
  }
  return next;
}

describe("leader on slow boxes", () => {
  it("meets no election once followers have adapted to late heartbeats", () => {
    const { voteRequestTimesMs } = simulateFollower(
      SLOW_INTERVAL_MS,
      HEARTBEATS,
    );
    const adaptedTimesMs = voteRequestTimesMs.filter((atMs) =>
      atMs > 2 * SLOW_INTERVAL_MS
    );
    chai.expect(adaptedTimesMs).to.deep.equal([]);
  });

  it("is replaced after the usual delay if its heartbeats were on time", () => {
    const { state } = simulateFollower(HEARTBEAT_MS, 30);
    const electionDelayMs = state.electionAtMs - HEARTBEAT_MS * 30;
    chai.expect(electionDelayMs).to.be.within(
      ELECTION_TIMEOUT_MS,
      2 * ELECTION_TIMEOUT_MS,
    );
  });

  it("stays leader while its quorum replies late", () => {
    const leader = leaderFixtures.createLeader({
      ...stepReplica.EMPTY_REPLICA,
      term: 1,
    });
    const reply: messages.AppendReply = {
      kind: "appendReply",
      term: 1,
      isMatch: true,
      index: 0,
      sentAtMs: 500,
      identity: { incarnation: 0, isAdmitted: true },
    };
    if (leader.role.kind !== "leader") throw new Error("a is not the leader");
    // Its process runs: the heartbeats before went out on time.
    const role = { ...leader.role, nextHeartbeatAtMs: 1_450 };
    const { state } = stepReplica.stepReplica(
      { ...leader, config: CONFIG, role },
      { kind: "message", from: "b", message: reply },
      1_400,
    );
    const after = stepReplica.stepReplica(state, { kind: "tick" }, 1_500);
    chai.expect(after.state.role.kind).to.equal("leader");
    // Steps down once the replies cease.
    const timedOut = tickUntil(after.state, 1_500, 2_250);
    chai.expect(timedOut.role.kind).to.equal("follower");
  });

  it("reads the replies that arrived during its own pause before it steps down", () => {
    const leader = leaderFixtures.createLeader({
      ...stepReplica.EMPTY_REPLICA,
      term: 1,
    });
    const running = tickUntil({ ...leader, config: CONFIG }, 0, 300);
    const woken = stepReplica.stepReplica(running, { kind: "tick" }, 2_250);
    chai.expect(woken.state.role.kind).to.equal("leader");
    const next = tickUntil(woken.state, 2_250, 2_250 + HEARTBEAT_MS);
    chai.expect(next.role.kind, "without replies").to.equal("follower");
  });
});

describe("follower after a pause of its own process", () => {
  it("reads what arrived meanwhile before it asks for votes, but not for ever", () => {
    const state = stepReplica.createReplica(
      CONFIG,
      { ...stepReplica.EMPTY_REPLICA, term: 1 },
      0,
    );
    const wokenAtMs = 4 * ELECTION_TIMEOUT_MS;
    const woken = stepReplica.stepReplica(state, { kind: "tick" }, wokenAtMs);
    chai.expect(woken.state.role.kind).to.equal("follower");
    const laterMs = wokenAtMs + 10 * HEARTBEAT_MS;
    const later = stepReplica.stepReplica(
      woken.state,
      { kind: "tick" },
      laterMs,
    );
    chai.expect(later.state.role.kind).to.equal("preCandidate");
  });
});
