import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A wiped replica whose clock was stepped back gets a smaller incarnation than
 * before, and the leader ignored its replies as stale ones: the replica was never
 * caught up while that leader kept the leadership.
 */

const ENTRIES = 40;
const FORMER_INCARNATION = 5_000;
const STEPPED_BACK_INCARNATION = 3_000;
const ROUNDS = 40;
const ROUND_MS = 20;
/** Long enough for the leader to keep its lease throughout. */
const ELECTION_TIMEOUT_MS = 60_000;

/** A leader that has committed all entries, the last one in its own term. */
function createLeader(): replicaStates.ReplicaState {
  const leader = leaderFixtures.createLeader({
    term: 1,
    votedFor: "a",
    identity: { incarnation: FORMER_INCARNATION, isAdmitted: true },
    log: replicaLogs.appendEntries(
      replicaLogs.EMPTY_LOG,
      Array.from({ length: ENTRIES }, (_, at) => ({
        index: at + 1,
        term: 1,
        command: at,
      })),
    ),
  });
  if (leader.role.kind !== "leader") throw new Error("a is not the leader");
  return {
    ...leader,
    commitIndex: ENTRIES,
    role: { ...leader.role, termStartIndex: ENTRIES },
    config: { ...leader.config, electionTimeoutMs: ELECTION_TIMEOUT_MS },
  };
}

/** Creates replica b with an empty log and a smaller incarnation than before. */
function createWipedFollower(): replicaStates.ReplicaState {
  return stepReplica.createReplica(
    { ...leaderFixtures.CONFIG, id: "b" },
    {
      term: 0,
      votedFor: undefined,
      identity: { incarnation: STEPPED_BACK_INCARNATION, isAdmitted: false },
      log: replicaLogs.EMPTY_LOG,
    },
    0,
  );
}

/** Steps a replica and returns the messages that it sends to one peer. */
function step(
  state: replicaStates.ReplicaState,
  event: replicaStates.ReplicaEvent,
  to: string,
  nowMs: number,
): {
  readonly state: replicaStates.ReplicaState;
  readonly sent: readonly messages.Message[];
} {
  const next = stepReplica.stepReplica(state, event, nowMs);
  const sent = next.effects.flatMap((effect) =>
    effect.kind === "send" && effect.to === to ? [effect.message] : []
  );
  return { state: next.state, sent };
}

/** Creates the reply of replica c, which holds all entries and confirms a's lead. */
function createReply(sentAtMs: number): messages.AppendReply {
  return {
    kind: "appendReply",
    term: 1,
    isMatch: true,
    index: ENTRIES,
    sentAtMs,
    identity: { incarnation: FORMER_INCARNATION, isAdmitted: true },
  };
}

describe("wiped replica whose clock was stepped back", () => {
  it("catches up and is admitted again by the same leader", () => {
    let leader = createLeader();
    let follower = createWipedFollower();
    let toLeader: readonly messages.Message[] = [];
    for (let round = 1; round <= ROUNDS; round += 1) {
      const nowMs = round * ROUND_MS;
      let toFollower: readonly messages.Message[] = [];
      for (const message of toLeader) {
        const event = { kind: "message", from: "b", message } as const;
        const handled = step(leader, event, "b", nowMs);
        leader = handled.state;
        toFollower = [...toFollower, ...handled.sent];
      }
      const ticked = step(leader, { kind: "tick" }, "b", nowMs);
      leader = step(
        ticked.state,
        { kind: "message", from: "c", message: createReply(nowMs) },
        "b",
        nowMs,
      ).state;
      toLeader = [];
      for (const message of [...toFollower, ...ticked.sent]) {
        const event = { kind: "message", from: "a", message } as const;
        const handled = step(follower, event, "a", nowMs);
        follower = handled.state;
        toLeader = [...toLeader, ...handled.sent];
      }
    }
    chai.expect(replicaLogs.getLastIndex(follower.log)).to.equal(ENTRIES);
    chai.expect(follower.identity.isAdmitted).to.equal(true);
    if (leader.role.kind !== "leader") throw new Error("a lost leadership");
    const progress = leader.role.progress.get("b");
    chai.expect(progress?.matchIndex).to.equal(ENTRIES);
    chai.expect(progress?.identity).to.deep.equal(follower.identity);
  });
});
