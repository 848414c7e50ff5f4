import * as chai from "chai";
import * as fixtures from "./notice_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

describe("watch over feeding", () => {
  function appendEntries(
    state: replicaStates.ReplicaState,
    count: number,
  ): replicaStates.ReplicaState {
    const entries = Array.from({ length: count }, (_, at) => ({
      index: at + 1,
      term: state.term,
      command: at,
    }));
    return { ...state, log: replicaLogs.appendEntries(state.log, entries) };
  }

  it("tells once that a follower counts which this leader fed, and how long", () => {
    const leader = fixtures.createLeader();
    const recorder = new fixtures.NoticeRecorder(leader);
    recorder.observe(leader, true);
    recorder.observe(
      fixtures.changeProgress(leader, { identity: fixtures.UNADMITTED }),
      true,
    );
    recorder.clock.advance(1_200);
    recorder.observe(
      fixtures.changeProgress(leader, { identity: fixtures.UNADMITTED }),
      true,
    );
    const caughtUp = fixtures.changeProgress(leader, {
      identity: fixtures.ADMITTED,
      matchIndex: 40,
    });
    recorder.observe(caughtUp, true);
    recorder.observe(caughtUp, true);
    chai.expect(recorder.listByKind("followerAdmitted")).to.deep.equal([{
      kind: "followerAdmitted",
      id: "b",
      incarnation: 7,
      term: 3,
      index: 40,
      fedMs: 1_200,
    }]);
  });

  it("tells of a follower that lost its disk and counts between two looks", () => {
    const leader = fixtures.createLeader();
    const recorder = new fixtures.NoticeRecorder(leader);
    recorder.observe(leader, true);
    recorder.observe(
      fixtures.changeProgress(leader, { identity: fixtures.ADMITTED }),
      true,
    );
    const [notice] = recorder.listByKind("followerAdmitted");
    chai.expect(notice?.id).to.equal("b");
    chai.expect(notice?.fedMs).to.equal(0);
  });

  it("tells nothing of a follower that counts when a new leader first hears it", () => {
    const leader = fixtures.createLeader();
    const recorder = new fixtures.NoticeRecorder(leader);
    const unanswered = fixtures.changeProgress(leader, {
      lastAckedSentAtMs: Number.NEGATIVE_INFINITY,
      identity: { incarnation: 0, isAdmitted: false },
    });
    recorder.observe(unanswered);
    recorder.observe(
      fixtures.changeProgress(leader, { identity: fixtures.ADMITTED }),
      true,
    );
    chai.expect(recorder.listByKind("followerAdmitted")).to.deep.equal([]);
  });

  it("tells each second how far the followers are that do not count", () => {
    const leader = appendEntries(fixtures.createLeader(), 100);
    const recorder = new fixtures.NoticeRecorder(leader);
    const unadmitted = { identity: fixtures.UNADMITTED, matchIndex: 0 };
    recorder.observe(fixtures.changeProgress(leader, unadmitted), true);
    recorder.clock.advance(999);
    recorder.observe(fixtures.changeProgress(leader, unadmitted), true);
    chai.expect(recorder.listByKind("feeding")).to.deep.equal([]);
    recorder.clock.advance(1);
    const at30 = fixtures.changeProgress(leader, {
      ...unadmitted,
      matchIndex: 30,
    });
    recorder.observe(at30, true);
    recorder.clock.advance(999);
    recorder.observe(at30, true);
    recorder.clock.advance(1);
    recorder.observe(
      fixtures.changeProgress(leader, { ...unadmitted, matchIndex: 72 }),
      true,
    );
    chai.expect(
      recorder.listByKind("feeding").map(({ followers }) => followers),
    ).to
      .deep
      .equal([
        [{
          kind: "fed",
          id: "b",
          isVoter: true,
          incarnation: 7,
          lag: 70,
          confirmed: 30,
          silentMs: 1_000,
          fedMs: 1_000,
        }],
        [{
          kind: "fed",
          id: "b",
          isVoter: true,
          incarnation: 7,
          lag: 28,
          confirmed: 42,
          silentMs: 2_000,
          fedMs: 2_000,
        }],
      ]);
  });

  it("tells of a voter that has never answered this leader", () => {
    const leader = fixtures.createLeader();
    const unanswered = fixtures.changeProgress(leader, {
      lastAckedSentAtMs: Number.NEGATIVE_INFINITY,
      identity: { incarnation: 0, isAdmitted: false },
    });
    const recorder = new fixtures.NoticeRecorder(leader);
    recorder.observe(unanswered, true);
    recorder.clock.advance(1_000);
    recorder.observe(unanswered, true);
    chai.expect(
      recorder.listByKind("feeding").flatMap(({ followers }) => followers),
    )
      .to
      .deep.equal([
        { kind: "unheard", id: "b", isVoter: true, sinceMs: 1_000 },
      ]);
  });

  it("tells nothing of feeding while all followers count, nor without the lead", () => {
    const leader = fixtures.createLeader();
    const recorder = new fixtures.NoticeRecorder(leader);
    const unadmitted = fixtures.changeProgress(leader, {
      identity: fixtures.UNADMITTED,
    });
    recorder.observe(unadmitted, true);
    recorder.clock.advance(900);
    recorder.observe({ ...unadmitted, role: { kind: "follower" } });
    recorder.clock.advance(200);
    recorder.observe(unadmitted, true);
    recorder.clock.advance(900);
    recorder.observe(
      fixtures.changeProgress(leader, { identity: fixtures.ADMITTED }),
      true,
    );
    recorder.clock.advance(2_000);
    recorder.observe(
      fixtures.changeProgress(leader, { identity: fixtures.ADMITTED }),
      true,
    );
    chai.expect(recorder.listByKind("feeding")).to.deep.equal([]);
  });
});
