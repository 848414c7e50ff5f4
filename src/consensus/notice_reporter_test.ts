import * as chai from "chai";
import * as fixtures from "./notice_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";

describe("notice teller", () => {
  it("tells once that the replica counts, with the time since it was opened", () => {
    const unadmitted = fixtures.createFollower(fixtures.UNADMITTED);
    const recorder = new fixtures.NoticeRecorder(unadmitted);
    recorder.observe(unadmitted);
    chai.expect(recorder.listByKind("admitted")).to.deep.equal([]);
    recorder.clock.advance(250);
    const admitted = {
      ...unadmitted,
      identity: fixtures.ADMITTED,
      commitIndex: 9,
    };
    recorder.observe(admitted);
    recorder.observe(admitted);
    chai.expect(recorder.listByKind("admitted")).to.deep.equal([
      { kind: "admitted", incarnation: 7, term: 3, index: 9, openedMs: 250 },
    ]);
  });

  it("tells no admission of a replica that counted when it was opened", () => {
    const follower = fixtures.createFollower(fixtures.ADMITTED);
    const recorder = new fixtures.NoticeRecorder(follower);
    recorder.observe(follower);
    chai.expect(recorder.listByKind("admitted")).to.deep.equal([]);
  });

  it("tells the set that holds, and again once it is known to be committed", () => {
    const follower = fixtures.createFollower(fixtures.ADMITTED);
    const log = replicaLogs.appendEntries(follower.log, [{
      index: 1,
      term: 3,
      command: { kind: "replicaSet", voters: ["a", "b"] },
    }]);
    const recorder = new fixtures.NoticeRecorder(follower);
    recorder.observe({ ...follower, log });
    recorder.observe({ ...follower, log });
    recorder.observe({ ...follower, log, commitIndex: 1 });
    recorder.observe({ ...follower, log, commitIndex: 1 });
    chai.expect(recorder.listByKind("voters").map(({ set }) => set)).to.deep
      .equal([
        { voters: ["a", "b"], index: 1, isCommitted: false },
        { voters: ["a", "b"], index: 1, isCommitted: true },
      ]);
  });
});
