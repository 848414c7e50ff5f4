import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as schedules from "./schedule_fixture_test.ts";
import * as simulations from "./simulation_test.ts";
import * as stepReplica from "./step_replica.ts";

/** Schedules of handovers; how many meet a leader is chance. */
const TRANSFER_SEEDS = 12;

describe("consensus", () => {
  it("elects one leader and commits while nothing fails", () => {
    const result = new simulations.Simulation({
      ...schedules.FAULT_FREE,
      seed: 1,
    })
      .run();
    chai.expect(result.leaders).to.equal(1);
    chai.expect(result.committed).to.be.greaterThan(50);
  });

  it(`keeps every invariant over ${schedules.SCHEDULE_COUNT} schedules of 3 and 5 replicas`, () => {
    let committed = 0;
    for (let seed = 1; seed <= schedules.SCHEDULE_COUNT; seed += 1) {
      const replicas = seed % 2 === 0 ? 3 : 5;
      committed +=
        new simulations.Simulation({ ...schedules.FAULTY, replicas, seed })
          .run()
          .committed;
    }
    chai.expect(committed).to.be.greaterThan(schedules.SCHEDULE_COUNT * 10);
  });

  it("does not vote for one election timeout after a restart", () => {
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

  describe("a replica that was restarted", () => {
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

    it("votes at once for the leader it followed, and for no other", () => {
      const state = stepReplica.createReplica(
        leaderFixtures.CONFIG,
        saved,
        1_000,
      );
      chai.expect(requestPreVote("b", state, 1_010)).to.equal(true);
      chai.expect(requestPreVote("c", state, 1_010)).to.equal(false);
    });

    it("votes for none at once where a later term may have had a leader", () => {
      const laterTerm = { ...saved, term: 5, votedFor: "b" };
      const state = stepReplica.createReplica(
        leaderFixtures.CONFIG,
        laterTerm,
        1_000,
      );
      chai.expect(requestPreVote("b", state, 1_010)).to.equal(false);
    });

    it("hurries to lead where it led, for one election timeout", () => {
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
      const { state: afterTimeout } = stepReplica.stepReplica(
        state,
        { kind: "tick" },
        1_100,
      );
      chai.expect(afterTimeout.electionAtMs).to.be.at.least(1_200);
      const formerFollower = stepReplica.createReplica(
        leaderFixtures.CONFIG,
        saved,
        1_000,
      );
      chai.expect(formerFollower.electionAtMs).to.be.at.least(1_100);
    });
  });

  it("keeps confirmed entries after a snapshot that comes late", () => {
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

  it("hands leadership over without a pause and without two leaders", () => {
    let leaders = 0;
    for (let seed = 1; seed <= TRANSFER_SEEDS; seed += 1) {
      const schedule = { ...schedules.FAULT_FREE, transferChance: 20, seed };
      const result = new simulations.Simulation(schedule).run();
      leaders += result.leaders;
      chai.expect(result.committed, `seed ${seed}`).to.be.greaterThan(90);
    }
    chai.expect(leaders).to.be.greaterThan(4 * TRANSFER_SEEDS);
  });

  it("hands leadership to the named follower only", () => {
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

  it("ignores a handover of an earlier term, when another may lead", () => {
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

  it("loses nothing when disks come back empty, one after another", () => {
    let committed = 0;
    for (let seed = 1; seed <= schedules.SCHEDULE_COUNT; seed += 1) {
      const replicas = seed % 2 === 0 ? 3 : 5;
      const schedule = { ...schedules.FAULTY, replicas, seed, wipeChance: 500 };
      committed += new simulations.Simulation(schedule).run().committed;
    }
    chai.expect(committed).to.be.greaterThan(schedules.SCHEDULE_COUNT * 10);
  });

  it("loses nothing when clocks are stepped back before disks come back empty", () => {
    let committed = 0;
    for (let seed = 1; seed <= schedules.SCHEDULE_COUNT; seed += 1) {
      const replicas = seed % 2 === 0 ? 3 : 5;
      const schedule = {
        ...schedules.FAULTY,
        replicas,
        seed,
        wipeChance: 500,
        clockStepChance: 500,
      };
      committed += new simulations.Simulation(schedule).run().committed;
    }
    chai.expect(committed).to.be.greaterThan(schedules.SCHEDULE_COUNT * 10);
  });

  it("keeps every invariant while voters are added, removed and wiped", () => {
    let sets = 0;
    let committed = 0;
    for (let seed = 1; seed <= schedules.SCHEDULE_COUNT; seed += 1) {
      const schedule = {
        ...schedules.FAULTY,
        replicas: 3 + seed % 2,
        extraReplicas: 2,
        membershipChance: 30,
        wipeChance: seed % 3 === 0 ? 500 : 0,
        seed,
      };
      const result = new simulations.Simulation(schedule).run();
      sets += result.committedSets;
      committed += result.committed;
    }
    chai.expect(committed).to.be.greaterThan(schedules.SCHEDULE_COUNT * 10);
    chai.expect(sets).to.be.greaterThan(schedules.SCHEDULE_COUNT * 3);
  });
});
