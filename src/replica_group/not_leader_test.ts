import * as chai from "chai";
import type * as consensus from "../consensus/mod.ts";
import * as notLeaders from "./not_leader.ts";

const HEALTH: consensus.ReplicaHealth = {
  role: "preCandidate",
  term: 5,
  leader: undefined,
  hasAuthority: false,
  isAdmitted: true,
  isInSet: true,
  set: { voters: ["a", "b", "c"], index: 4, isCommitted: true },
  lastIndex: 90,
  leaderlessMs: 2_100,
  writingMs: 0,
  followers: undefined,
};

/** What the log shows of a replica that does not lead. */
function describeHealth(health: consensus.ReplicaHealth | undefined): string {
  return notLeaders.describeNotLeader({
    kind: "notLeader",
    leader: health?.leader,
    reason: notLeaders.explainNotLeader(health),
  });
}

describe("a replica that does not lead", () => {
  it("tells that it has not started", () => {
    chai.expect(describeHealth(undefined)).to.equal("notStarted");
  });

  it("tells whom it follows, and when it heard that one", () => {
    const follower = { ...HEALTH, role: "follower" as const, leader: "b" };
    chai.expect(describeHealth(follower)).to.equal(
      "follows:b:term5:heard2100ms",
    );
  });

  it("tells its role, its log's end and how many vote without a leader", () => {
    chai.expect(describeHealth(HEALTH)).to.equal(
      "preCandidate:term5:since2100ms:last90:voters3",
    );
  });

  it("tells that it does not count, does not vote, or waits for its disk", () => {
    const unadmitted = { ...HEALTH, isAdmitted: false, isInSet: false };
    chai.expect(describeHealth({ ...unadmitted, writingMs: 700 })).to.equal(
      "preCandidate:term5:since2100ms:last90:voters3:notInSet:notAdmitted:writing700ms",
    );
  });

  it("tells that it leads by role alone", () => {
    const leader = {
      ...HEALTH,
      role: "leader" as const,
      leader: "a",
      followers: { presentVoters: 1, quorum: 2, fedMs: 0 },
    };
    chai.expect(describeHealth(leader)).to.equal(
      "unsureLead:term5:since2100ms:present1of2",
    );
  });

  it("is described where a box of an earlier version gives no reason", () => {
    chai.expect(
      notLeaders.describeNotLeader({ kind: "notLeader", leader: undefined }),
    ).to.equal("notLeader");
    chai.expect(
      notLeaders.describeNotLeader({ kind: "notLeader", leader: "b" }),
    ).to.equal("follows:b");
  });
});
