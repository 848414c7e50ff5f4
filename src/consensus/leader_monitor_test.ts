import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as fixtures from "./notice_fixture_test.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

describe("watch for a leader", () => {
  it("tells each 2 s that no leader is known, with the last answer of each voter", () => {
    const candidate: replicaStates.ReplicaState = {
      ...fixtures.createFollower(fixtures.ADMITTED),
      role: { kind: "preCandidate", votes: new Set(["a"]) },
    };
    const recorder = new fixtures.NoticeRecorder(candidate);
    recorder.clock.advance(1_500);
    recorder.receiveVoteReply(candidate, {
      isPreVote: true,
      isGranted: false,
      refusal: "notAdmitted",
    });
    recorder.clock.advance(499);
    recorder.observeLeader(candidate);
    chai.expect(recorder.listByKind("leaderless")).to.deep.equal([]);
    recorder.clock.advance(1);
    recorder.observeLeader(candidate, 70);
    recorder.observeLeader(candidate, 70);
    const expected: notices.ReplicaNotice = {
      kind: "leaderless",
      role: "preCandidate",
      term: 3,
      sinceMs: 2_000,
      isAdmitted: true,
      lastIndex: 0,
      lastTerm: 0,
      commitIndex: 0,
      set: { voters: ["a", "b", "c"], index: 0, isCommitted: true },
      asked: [
        {
          id: "b",
          answer: {
            kind: "refused",
            isPreVote: true,
            reason: "notAdmitted",
            ageMs: 500,
          },
        },
        { id: "c", answer: { kind: "none" } },
      ],
      writingMs: 70,
    };
    chai.expect(recorder.listByKind("leaderless")).to.deep.equal([expected]);
    recorder.receiveVoteReply(candidate, { isPreVote: false, isGranted: true });
    recorder.clock.advance(2_000);
    recorder.observeLeader(candidate);
    const [, second] = recorder.listByKind("leaderless");
    chai.expect(second?.asked[0]?.answer).to.deep.equal({
      kind: "granted",
      isPreVote: false,
      ageMs: 2_000,
    });
  });

  it("tells anew from the time at which a leader was known last", () => {
    const follower = fixtures.createFollower(fixtures.ADMITTED);
    const recorder = new fixtures.NoticeRecorder(follower);
    recorder.clock.advance(1_900);
    const withContact = {
      ...follower,
      leaderContactAtMs: recorder.clock.getMonotonicMs(),
    };
    recorder.observeLeader(withContact);
    recorder.clock.advance(1_900);
    recorder.observeLeader(withContact);
    chai.expect(recorder.listByKind("leaderless")).to.deep.equal([]);
    recorder.clock.advance(100);
    recorder.observeLeader(withContact);
    chai.expect(recorder.listByKind("leaderless")).to.have.length(1);
  });

  it("tells of a leader that gains no authority, but not of one that has it", () => {
    const leader = fixtures.createLeader();
    const recorder = new fixtures.NoticeRecorder(leader);
    recorder.clock.advance(5_000);
    recorder.observe(leader, true);
    recorder.clock.advance(1_999);
    recorder.observe(leader);
    chai.expect(recorder.listByKind("leaderless")).to.deep.equal([]);
    recorder.clock.advance(1);
    recorder.observe(leader);
    chai.expect(recorder.listByKind("leaderless").map(({ role }) => role)).to
      .deep
      .equal([
        "leader",
      ]);
  });

  it("tells ever more seldom of a replica that votes nowhere", () => {
    const nonVoter: replicaStates.ReplicaState = {
      ...fixtures.createFollower(fixtures.UNADMITTED),
      config: { ...leaderFixtures.CONFIG, voters: [] },
    };
    const recorder = new fixtures.NoticeRecorder(nonVoter);
    const minutes = 10;
    for (let second = 0; second < minutes * 60; second += 1) {
      recorder.clock.advance(1_000);
      recorder.observeLeader(nonVoter);
    }
    const noticeSeconds = recorder.listByKind("leaderless").map(({ sinceMs }) =>
      sinceMs / 1_000
    );
    chai.expect(noticeSeconds.slice(0, 6)).to.deep.equal([2, 4, 8, 16, 32, 64]);
    chai.expect(noticeSeconds.slice(6)).to.deep.equal(
      [124, 184, 244, 304, 364, 424, 484, 544],
    );
  });
});
