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
  /** The log line of a notice, after its time. */
  function writeNotice(notice: consensus.ReplicaNotice): string {
    let line = "";
    const log = new logs.Log("box", "info", (text) => {
      line = text;
    });
    const fields = describeNotice.describeNotice(notice);
    const level = describeNotice.chooseLogLevel(notice);
    log.write(level, `replica.${notice.kind}`, fields);
    return line.replace(/^time=\S+ /, "").trim();
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
      "level=info event=replica.opened box=box id=a incarnation=5 isAdmitted=false term=3 " +
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
      "level=info event=replica.admitted box=box incarnation=5 term=3 index=20 openedMs=812",
    );
    chai.expect(writeNotice({
      kind: "followerAdmitted",
      id: "b",
      incarnation: 5,
      term: 3,
      index: 20,
      fedMs: 700,
    })).to.equal(
      "level=info event=replica.followerAdmitted box=box id=b incarnation=5 term=3 index=20 fedMs=700",
    );
  });

  it("tells the set in force with its entry", () => {
    chai.expect(writeNotice({ kind: "voters", term: 3, set: SET })).to.equal(
      "level=info event=replica.voters box=box term=3 voters=a,b setIndex=12 isSetCommitted=false",
    );
  });

  it("tells how followers are fed", () => {
    chai.expect(writeNotice({
      kind: "feeding",
      term: 3,
      lastIndex: 90,
      followers: [
        {
          kind: "fed",
          id: "b",
          isVoter: true,
          incarnation: 5,
          lag: 60,
          confirmed: 8,
          silentMs: 40,
          fedMs: 1_000,
        },
        { kind: "unheard", id: "d", isVoter: false, sinceMs: 900 },
      ],
    })).to.equal(
      "level=info event=replica.feeding box=box term=3 lastIndex=90 " +
        "followers=b:lag60:confirmed8:silent40ms:fed1000ms,d:spare:unheard900ms",
    );
  });

  it("tells why there may be no leader", () => {
    chai.expect(writeNotice({
      kind: "leaderless",
      role: "preCandidate",
      term: 3,
      sinceMs: 2_000,
      isAdmitted: true,
      lastIndex: 20,
      lastTerm: 2,
      commitIndex: 9,
      set: SET,
      asked: [
        { id: "b", answer: { kind: "none" } },
        {
          id: "c",
          answer: {
            kind: "refused",
            isPreVote: true,
            reason: "logBehind",
            ageMs: 40,
          },
        },
        { id: "d", answer: { kind: "granted", isPreVote: false, ageMs: 90 } },
      ],
      writingMs: 0,
    })).to.equal(
      "level=warn event=replica.leaderless box=box role=preCandidate term=3 sinceMs=2000 " +
        "isAdmitted=true lastIndex=20 lastTerm=2 commitIndex=9 voters=a,b " +
        "setIndex=12 isSetCommitted=false " +
        "asked=b:none,c:preVoteRefused:logBehind:40ms,d:voteGranted:90ms " +
        "writingMs=0",
    );
  });
});
