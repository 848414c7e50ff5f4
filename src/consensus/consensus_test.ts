import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as schedules from "./schedule_fixture_test.ts";
import * as simulations from "./simulation_test.ts";
import * as stepReplica from "./step_replica.ts";

/** Number of schedules with leadership transfers. */
const TRANSFER_SEEDS = 12;

describe("consensus", () => {
  it("elects one leader and commits entries while nothing fails", () => {
    const result = new simulations.Simulation({
      ...schedules.FAULT_FREE,
      seed: 1,
    })
      .run();
    chai.expect(result.leaders).to.equal(1);
    chai.expect(result.committed).to.be.greaterThan(50);
  });

  // Each seed runs the same schedule on every machine; a test of all seeds exceeded
  // the time limit on a busy one.
  schedules.describeSchedules(
    `keeps every invariant in ${schedules.SCHEDULE_COUNT} fault schedules with 3 and 5 replicas`,
    (seed) => ({
      ...schedules.FAULTY,
      replicas: seed % 2 === 0 ? 3 : 5,
      seed,
    }),
  );

  it("does not vote within one election timeout after a restart", () => {
    const state = stepReplica.createReplica(
      leaderFixtures.CONFIG,
      stepReplica.EMPTY_REPLICA,
      1_000,
    );
    const message = {
      kind: "voteRequest",
      term: 5,
      isPreVote: false,
      isTransfer: false,
      lastIndex: 0,
      lastTerm: 0,
    } as const;
    const event = { kind: "message", from: "b", message } as const;
    chai.expect(stepReplica.stepReplica(state, event, 1_050).state.term).to
      .equal(0);
    chai.expect(stepReplica.stepReplica(state, event, 1_101).state.votedFor).to
      .equal("b");
  });

  describe("restarted replica", () => {
    const IDENTITY = { incarnation: 0, isAdmitted: true };
    const termStart = { kind: "noOperation", leader: "b" };
    const saved = {
      term: 4,
      votedFor: undefined,
      identity: IDENTITY,
      log: {
        ...replicaLogs.EMPTY_LOG,
        entries: [
          { index: 1, term: 4, command: termStart },
          { index: 2, term: 4, command: "x" },
        ],
      },
    };

    /** Whether the replica grants a pre-vote to a candidate. */
    function requestPreVote(
      from: string,
      state: replicaStates.ReplicaState,
      nowMs: number,
    ): boolean {
      const message = {
        kind: "voteRequest",
        term: 5,
        isPreVote: true,
        isTransfer: false,
        lastIndex: 2,
        lastTerm: 4,
      } as const;
      const { effects } = stepReplica.stepReplica(
        state,
        { kind: "message", from, message },
        nowMs,
      );
      return effects.some((effect) =>
        effect.kind === "send" && effect.message.kind === "voteReply" &&
        effect.message.isGranted
      );
    }

    it("grants a pre-vote at once only to the leader that it followed", () => {
      const state = stepReplica.createReplica(
        leaderFixtures.CONFIG,
        saved,
        1_000,
      );
      chai.expect(requestPreVote("b", state, 1_010)).to.equal(true);
      chai.expect(requestPreVote("c", state, 1_010)).to.equal(false);
    });

    it("grants no pre-vote at once if a later term may have had a leader", () => {
      const laterTerm = { ...saved, term: 5, votedFor: "b" };
      const state = stepReplica.createReplica(
        leaderFixtures.CONFIG,
        laterTerm,
        1_000,
      );
      chai.expect(requestPreVote("b", state, 1_010)).to.equal(false);
    });

    it("starts early elections for one election timeout if it was the leader", () => {
      const formerLeader = stepReplica.createReplica(
        { ...leaderFixtures.CONFIG, id: "b" },
        saved,
        1_000,
      );
      chai.expect(formerLeader.electionAtMs).to.equal(1_025);
      const { state } = stepReplica.stepReplica(
        formerLeader,
        { kind: "tick" },
        1_025,
      );
      chai.expect(state.role.kind).to.equal("preCandidate");
      chai.expect(state.electionAtMs).to.equal(1_050);
      // A late tick first leaves time to read messages; then the pre-vote is
      // repeated at the usual random time.
      const { state: late } = stepReplica.stepReplica(
        state,
        { kind: "tick" },
        1_100,
      );
      chai.expect(late.electionAtMs).to.equal(1_120);
      const { state: afterTimeout } = stepReplica.stepReplica(
        late,
        { kind: "tick" },
        1_120,
      );
      chai.expect(afterTimeout.electionAtMs).to.be.within(1_153, 1_187);
      const formerFollower = stepReplica.createReplica(
        leaderFixtures.CONFIG,
        saved,
        1_000,
      );
      chai.expect(formerFollower.electionAtMs).to.be.at.least(1_100);
    });
  });

  it("keeps acknowledged entries when a stale snapshot arrives", () => {
    const entries = [1, 2, 3].map((index) => ({
      index,
      term: 1,
      command: `c${index}`,
    }));
    const follower = stepReplica.createReplica(leaderFixtures.CONFIG, {
      term: 1,
      votedFor: "b",
      identity: { incarnation: 0, isAdmitted: true },
      log: { ...replicaLogs.EMPTY_LOG, entries },
    }, 0);
    const message = {
      kind: "snapshotRequest",
      term: 1,
      snapshot: { index: 2, term: 1, state: [], voters: ["a", "b", "c"] },
      sentAtMs: 0,
    } as const;
    const { state, effects } = stepReplica.stepReplica(
      follower,
      { kind: "message", from: "b", message },
      10,
    );
    chai.expect(replicaLogs.getLastIndex(state.log)).to.equal(3);
    chai.expect(state.commitIndex).to.equal(2);
    chai.expect(effects.map((effect) => effect.kind)).to.deep.equal([
      "send",
      "commit",
    ]);
  });

  it("does not commit an entry of an earlier term by counting replicas", () => {
    const saved = {
      term: 3,
      votedFor: "a",
      identity: { incarnation: 0, isAdmitted: true },
      log: {
        ...replicaLogs.EMPTY_LOG,
        entries: [{ index: 1, term: 2, command: "old" }],
      },
    };
    const follower = stepReplica.createReplica(leaderFixtures.CONFIG, saved, 0);
    const { identity } = follower;
    const progress = {
      nextIndex: 2,
      matchIndex: 0,
      lastAckedSentAtMs: 0,
      identity,
    };
    const leader: replicaStates.ReplicaState = {
      ...follower,
      role: {
        kind: "leader",
        progress: new Map([["b", progress], ["c", progress]]),
        admitting: new Map(),
        nextHeartbeatAtMs: 0,
        termStartIndex: 2,
        leaderSinceMs: 0,
      },
    };
    const message = {
      kind: "appendReply",
      term: 3,
      isMatch: true,
      index: 1,
      sentAtMs: 0,
      identity,
    } as const;
    const transition = stepReplica.stepReplica(leader, {
      kind: "message",
      from: "b",
      message,
    }, 1);
    chai.expect(transition.state.commitIndex).to.equal(0);
  });

  it("transfers leadership without an outage and without two leaders", () => {
    let leaders = 0;
    for (let seed = 1; seed <= TRANSFER_SEEDS; seed += 1) {
      const schedule = { ...schedules.FAULT_FREE, transferChance: 20, seed };
      const result = new simulations.Simulation(schedule).run();
      leaders += result.leaders;
      chai.expect(result.committed, `seed ${seed}`).to.be.greaterThan(90);
    }
    chai.expect(leaders).to.be.greaterThan(4 * TRANSFER_SEEDS);
  });

  it("transfers leadership only to the requested follower", () => {
    const saved = { ...stepReplica.EMPTY_REPLICA, term: 4 };
    const leader = leaderFixtures.createLeader(saved);
    const unknownTarget = stepReplica.stepReplica(
      leader,
      { kind: "transfer", to: "nobody" },
      1,
    );
    chai.expect(unknownTarget.state.role.kind).to.equal("leader");
    const knownTarget = stepReplica.stepReplica(
      leader,
      { kind: "transfer", to: "c" },
      1,
    );
    chai.expect(
      knownTarget.effects.map((effect) => "to" in effect && effect.to),
    ).to
      .deep.equal(["c"]);
  });

  it("ignores a transfer request of an earlier term", () => {
    const saved = { ...stepReplica.EMPTY_REPLICA, term: 4 };
    const state = stepReplica.createReplica(leaderFixtures.CONFIG, saved, 0);
    const message = { kind: "transferRequest", term: 3 } as const;
    const stale = { kind: "message", from: "b", message } as const;
    const current = { ...stale, message: { ...message, term: 4 } };
    chai.expect(stepReplica.stepReplica(state, stale, 1).effects).to.deep.equal(
      [],
    );
    chai.expect(stepReplica.stepReplica(state, current, 1).state.role.kind).to
      .equal("candidate");
  });

  schedules.describeSchedules(
    "keeps every invariant while disks are wiped one after another",
    (seed) => ({
      ...schedules.FAULTY,
      replicas: seed % 2 === 0 ? 3 : 5,
      seed,
      wipeChance: 500,
    }),
  );

  schedules.describeSchedules(
    "keeps every invariant while clocks step back before disks are wiped",
    (seed) => ({
      ...schedules.FAULTY,
      replicas: seed % 2 === 0 ? 3 : 5,
      seed,
      wipeChance: 500,
      clockStepChance: 500,
    }),
  );

  schedules.describeSchedules(
    "keeps every invariant while voters are added, removed and wiped",
    (seed) => ({
      ...schedules.FAULTY,
      replicas: 3 + seed % 2,
      extraReplicas: 2,
      membershipChance: 30,
      wipeChance: seed % 3 === 0 ? 500 : 0,
      seed,
    }),
    ({ committedSets }) =>
      chai.expect(committedSets).to.be.greaterThan(
        schedules.SCHEDULE_COUNT * 3,
      ),
  );
});
