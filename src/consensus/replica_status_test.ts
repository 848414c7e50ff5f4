import * as chai from "chai";
import * as fixtures from "./notice_fixture_test.ts";
import * as replicaStatuses from "./replica_status.ts";

const TIMINGS = {
  hasAuthority: true,
  leaderlessMs: 0,
  writingMs: 0,
  fedMs: 0,
};

describe("health of a leader", () => {
  const leader = fixtures.createLeader();

  /** Voters that count at a time, of three. */
  function countPresentVoters(state: typeof leader, nowMs: number): unknown {
    const health = replicaStatuses.describeHealth(state, TIMINGS, nowMs);
    return health.followers?.presentVoters;
  }

  it("counts itself and the voters that answer", () => {
    chai.expect(countPresentVoters(leader, 999)).to.equal(3);
  });

  it("counts no voter that lost its disk, nor one that is silent", () => {
    const unadmitted = fixtures.changeProgress(leader, {
      identity: fixtures.UNADMITTED,
    });
    chai.expect(countPresentVoters(unadmitted, 999)).to.equal(2);
    const lateReply = fixtures.changeProgress(leader, {
      lastAckedSentAtMs: 500,
    });
    chai.expect(countPresentVoters(lateReply, 1_400)).to.equal(2);
    chai.expect(countPresentVoters(lateReply, 1_500)).to.equal(1);
  });

  it("tells the quorum, and nothing of followers without the lead", () => {
    const health = replicaStatuses.describeHealth(leader, TIMINGS, 0);
    chai.expect(health.followers?.quorum).to.equal(2);
    const follower = fixtures.createFollower(fixtures.ADMITTED);
    chai.expect(
      replicaStatuses.describeHealth(follower, TIMINGS, 0).followers,
    ).to.equal(undefined);
  });
});
