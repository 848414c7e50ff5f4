import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

const ENTRIES = 2_000;
const BATCH = leaderFixtures.CONFIG.maxBatchEntries;
/** A leader keeps its authority throughout. */
const LONG_MS = 60_000;
const ADMITTED = { incarnation: 0, isAdmitted: true };
const EMPTIED = { incarnation: 1, isAdmitted: false };

/** A leader with a long log, and what it sends to one follower. */
class LeaderUnderLoad {
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
    const config = { ...leader.config, electionTimeoutMs: LONG_MS };
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

  answer(reply: Partial<messages.AppendReply>): number {
    return this.step({
      kind: "message",
      from: "b",
      message: {
        kind: "appendReply",
        term: 1,
        isMatch: true,
        index: 0,
        sentAtMs: this.#nowMs,
        identity: EMPTIED,
        ...reply,
      },
    });
  }
}

describe("feeding a replica that lost its disk", () => {
  it("has two batches on their way, whatever is proposed meanwhile", () => {
    const leader = new LeaderUnderLoad();
    let sent = leader.answer({ isMatch: false });
    for (let turn = 0; turn < 50; turn += 1) {
      sent += leader.step({ kind: "propose", commands: [turn] });
      sent += leader.step({ kind: "tick" });
    }
    chai.expect(sent).to.equal(2 * BATCH);
  });

  it("sends the next batch once one is confirmed", () => {
    const leader = new LeaderUnderLoad();
    leader.answer({ isMatch: false });
    leader.step({ kind: "tick" });
    leader.step({ kind: "propose", commands: ["x"] });
    chai.expect(leader.answer({ index: BATCH })).to.equal(BATCH);
  });

  it("goes back once for all that was sent before", () => {
    const leader = new LeaderUnderLoad();
    const sentAtMs = leader.getNowMs();
    leader.answer({ isMatch: false, sentAtMs });
    leader.step({ kind: "propose", commands: ["x"] });
    const again = leader.answer({ isMatch: false, sentAtMs }) +
      leader.answer({ isMatch: false, sentAtMs });
    chai.expect(again).to.equal(0);
  });

  it("goes back again where entries were lost on their way", () => {
    const leader = new LeaderUnderLoad();
    leader.answer({ isMatch: false });
    leader.step({ kind: "propose", commands: ["x"] });
    chai.expect(leader.answer({ isMatch: false })).to.equal(BATCH);
  });

  it("does not hold back entries from a follower that counts", () => {
    const leader = new LeaderUnderLoad();
    let sent = leader.answer({ index: ENTRIES, identity: ADMITTED });
    for (let turn = 0; turn < 50; turn += 1) {
      sent += leader.step({ kind: "propose", commands: [turn] });
    }
    chai.expect(sent).to.equal(50);
  });
});
