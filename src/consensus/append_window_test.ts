import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

const ENTRIES = 2_000;
const BATCH = leaderFixtures.CONFIG.maxBatchEntries;
/** A leader keeps its authority throughout. */
const ELECTION_TIMEOUT_MS = 60_000;
const ADMITTED = { incarnation: 0, isAdmitted: true };
const UNADMITTED = { incarnation: 1, isAdmitted: false };

/** A leader with a long log, and what it sends to one follower. */
class LeaderHarness {
  #state: replicaStates.ReplicaState;
  #nowMs = 1_000;

  constructor() {
    const leader = leaderFixtures.createLeader({
      term: 1,
      votedFor: "a",
      identity: ADMITTED,
      log: replicaLogs.appendEntries(
        replicaLogs.EMPTY_LOG,
        Array.from({ length: ENTRIES }, (_, at) => ({
          index: at + 1,
          term: 1,
          command: at,
        })),
      ),
    });
    const config = { ...leader.config, electionTimeoutMs: ELECTION_TIMEOUT_MS };
    this.#state = { ...leader, config };
  }

  getNowMs(): number {
    return this.#nowMs;
  }

  /** @returns Entries sent to b by this step. */
  step(event: replicaStates.ReplicaEvent): number {
    this.#nowMs += 1;
    const { state, effects } = stepReplica.stepReplica(
      this.#state,
      event,
      this.#nowMs,
    );
    this.#state = state;
    return effects.reduce(
      (sum, effect) =>
        effect.kind === "send" && effect.to === "b" &&
          effect.message.kind === "appendRequest"
          ? sum + effect.message.entries.length
          : sum,
      0,
    );
  }

  receiveReply(reply: Partial<messages.AppendReply>): number {
    return this.step({
      kind: "message",
      from: "b",
      message: {
        kind: "appendReply",
        term: 1,
        isMatch: true,
        index: 0,
        sentAtMs: this.#nowMs,
        identity: UNADMITTED,
        ...reply,
      },
    });
  }
}

describe("feeding a replica that lost its disk", () => {
  it("has two batches on their way, whatever is proposed meanwhile", () => {
    const leader = new LeaderHarness();
    let sent = leader.receiveReply({ isMatch: false });
    for (let round = 0; round < 50; round += 1) {
      sent += leader.step({ kind: "propose", commands: [round] });
      sent += leader.step({ kind: "tick" });
    }
    chai.expect(sent).to.equal(2 * BATCH);
  });

  it("sends the next batch once one is confirmed", () => {
    const leader = new LeaderHarness();
    leader.receiveReply({ isMatch: false });
    leader.step({ kind: "tick" });
    leader.step({ kind: "propose", commands: ["x"] });
    chai.expect(leader.receiveReply({ index: BATCH })).to.equal(BATCH);
  });

  it("goes back once for all that was sent before", () => {
    const leader = new LeaderHarness();
    const sentAtMs = leader.getNowMs();
    leader.receiveReply({ isMatch: false, sentAtMs });
    leader.step({ kind: "propose", commands: ["x"] });
    const resent = leader.receiveReply({ isMatch: false, sentAtMs }) +
      leader.receiveReply({ isMatch: false, sentAtMs });
    chai.expect(resent).to.equal(0);
  });

  it("goes back again where entries were lost on their way", () => {
    const leader = new LeaderHarness();
    leader.receiveReply({ isMatch: false });
    leader.step({ kind: "propose", commands: ["x"] });
    chai.expect(leader.receiveReply({ isMatch: false })).to.equal(BATCH);
  });

  it("does not hold back entries from a follower that counts", () => {
    const leader = new LeaderHarness();
    let sent = leader.receiveReply({ index: ENTRIES, identity: ADMITTED });
    for (let round = 0; round < 50; round += 1) {
      sent += leader.step({ kind: "propose", commands: [round] });
    }
    chai.expect(sent).to.equal(50);
  });
});
