import * as chai from "chai";
import type * as consensus from "../consensus/mod.ts";
import * as logs from "../log/mod.ts";
import * as describeNotice from "./_describe_notice.ts";

const SET: consensus.VoterSet = {
  voters: ["a", "b"],
  index: 12,
  isCommitted: false,
};

describe("describing a notice", () => {
  /** The log line of a notice, after its time and level. */
  function writeNotice(notice: consensus.ReplicaNotice): string {
    let line = "";
    const log = new logs.Log("box", "info", (text) => {
      line = text;
    });
    const fields = describeNotice.describeNotice(notice);
    log.write("info", `replica.${notice.kind}`, fields);
    return line.replace(/^.* event=/, "").trim();
  }

  it("tells what a replica was opened with", () => {
    const line = writeNotice({
      kind: "opened",
      id: "a",
      identity: { incarnation: 5, isAdmitted: false },
      term: 3,
      votedFor: undefined,
      set: SET,
      snapshotIndex: 7,
      lastIndex: 20,
      lastTerm: 2,
      tornBytes: 0,
    });
    chai.expect(line).to.equal(
      "replica.opened box=box id=a incarnation=5 isAdmitted=false term=3 " +
        "voters=a,b setIndex=12 isSetCommitted=false snapshotIndex=7 " +
        "lastIndex=20 lastTerm=2 tornBytes=0",
    );
  });

  it("tells an admission, at the replica and at its leader", () => {
    chai.expect(writeNotice({
      kind: "admitted",
      incarnation: 5,
      term: 3,
      index: 20,
      openedMs: 812,
    })).to.equal(
      "replica.admitted box=box incarnation=5 term=3 index=20 openedMs=812",
    );
    chai.expect(writeNotice({
      kind: "followerAdmitted",
      id: "b",
      incarnation: 5,
      term: 3,
      index: 20,
      fedMs: 700,
    })).to.equal(
      "replica.followerAdmitted box=box id=b incarnation=5 term=3 index=20 fedMs=700",
    );
  });
});
