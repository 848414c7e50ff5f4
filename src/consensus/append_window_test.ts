import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

const ENTRIES = 2_000;
const BATCH = leaderFixtures.CONFIG.maxBatchEntries;
/** Most batches in flight to a replica that catches up. */
const MAX_BATCHES = 4;
/** Messages with entries in answer to one reply. */
const MESSAGES_PER_REPLY = 2;
/** Bytes in flight by the time that a replica takes to reply. */
const REPLIES = [
  { name: "1 MB if it replies at once", replyMs: 0, bytes: 1024 * 1024 },
  { name: "4 MB if it replies late", replyMs: 900, bytes: 4 * 1024 * 1024 },
];
const LARGE_TEXT = "x".repeat(500 * 1024);
/** Long enough for the leader to keep its lease throughout. */
const ELECTION_TIMEOUT_MS = 60_000;
const ADMITTED = { incarnation: 0, isAdmitted: true };
const UNADMITTED = { incarnation: 1, isAdmitted: false };

/** A leader with a long log that counts the entries sent to follower b. */
class LeaderHarness {
  #state: replicaStates.ReplicaState;
  #nowMs = 1_000;

  /** @param command Command of each entry. */
  constructor(command: unknown = "x") {
    const leader = leaderFixtures.createLeader({
      term: 1,
      votedFor: "a",
      identity: ADMITTED,
      log: replicaLogs.appendEntries(
        replicaLogs.EMPTY_LOG,
        Array.from({ length: ENTRIES }, (_, at) => ({
          index: at + 1,
          term: 1,
          command,
        })),
      ),
    });
    const config = { ...leader.config, electionTimeoutMs: ELECTION_TIMEOUT_MS };
    this.#state = { ...leader, config };
  }

  getNowMs(): number {
    return this.#nowMs;
  }

  /** @returns The number of entries sent to b by this step. */
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

  /** @returns The number of entries sent to b after its reply. */
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

describe("append window", () => {
  it("keeps at most four batches in flight to an unadmitted follower", () => {
    const leader = new LeaderHarness();
    let sent = leader.receiveReply({ isMatch: false });
    for (let round = 0; round < 50; round += 1) {
      sent += leader.step({ kind: "propose", commands: [round] });
      sent += leader.step({ kind: "tick" });
    }
    chai.expect(sent).to.equal(MAX_BATCHES * BATCH);
  });

  for (const { name, replyMs, bytes } of REPLIES) {
    it(`keeps ${name} in flight to an unadmitted follower, and at most one entry more`, () => {
      const leader = new LeaderHarness({ text: LARGE_TEXT });
      const sentAtMs = leader.getNowMs() - replyMs;
      let sent = leader.receiveReply({ isMatch: false, sentAtMs });
      for (let round = 0; round < 50; round += 1) {
        sent += leader.step({ kind: "propose", commands: [round] });
        sent += leader.step({ kind: "tick" });
      }
      chai.expect(sent * LARGE_TEXT.length).to.be.within(
        bytes,
        bytes + LARGE_TEXT.length,
      );
    });
  }

  it("sends the next batch once one is acknowledged", () => {
    const leader = new LeaderHarness();
    leader.receiveReply({ isMatch: false });
    leader.step({ kind: "tick" });
    leader.step({ kind: "propose", commands: ["x"] });
    chai.expect(leader.receiveReply({ index: BATCH })).to.equal(BATCH);
  });

  it("resends only once for rejections of messages sent before", () => {
    const leader = new LeaderHarness();
    const sentAtMs = leader.getNowMs();
    leader.receiveReply({ isMatch: false, sentAtMs });
    for (let batch = 0; batch < MAX_BATCHES; batch += 1) {
      leader.step({ kind: "propose", commands: ["x"] });
    }
    const resent = leader.receiveReply({ isMatch: false, sentAtMs }) +
      leader.receiveReply({ isMatch: false, sentAtMs });
    chai.expect(resent).to.equal(0);
  });

  it("resends again when entries were lost in transit", () => {
    const leader = new LeaderHarness();
    leader.receiveReply({ isMatch: false });
    leader.step({ kind: "propose", commands: ["x"] });
    chai.expect(leader.receiveReply({ isMatch: false }))
      .to.equal(MESSAGES_PER_REPLY * BATCH);
  });

  it("does not delay entries for an admitted follower", () => {
    const leader = new LeaderHarness();
    let sent = leader.receiveReply({ index: ENTRIES, identity: ADMITTED });
    for (let round = 0; round < 50; round += 1) {
      sent += leader.step({ kind: "propose", commands: [round] });
    }
    chai.expect(sent).to.equal(50);
  });
});
