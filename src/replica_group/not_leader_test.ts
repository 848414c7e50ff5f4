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

/** Describes the answer of a replica that does not lead, as it is logged. */
function describeHealth(health: consensus.ReplicaHealth | undefined): string {
  return notLeaders.describeNotLeader({
    kind: "notLeader",
    leader: health?.leader,
    reason: notLeaders.explainNotLeader(health),
  });
}

describe("the answer of a replica that does not lead", () => {
  it("shows that the replica has not started", () => {
    chai.expect(describeHealth(undefined)).to.equal("notStarted");
  });

  it("shows the leader that it follows and the time since its last message", () => {
    const follower = { ...HEALTH, role: "follower" as const, leader: "b" };
    chai.expect(describeHealth(follower)).to.equal(
      "follows:b:term5:heard2100ms",
    );
  });

  it("shows the role, the last log index and the number of voters without a leader", () => {
    chai.expect(describeHealth(HEALTH)).to.equal(
      "preCandidate:term5:since2100ms:last90:voters3",
    );
  });

  it("shows that the replica is unadmitted, is no voter, or waits for its disk", () => {
    const unadmitted = { ...HEALTH, isAdmitted: false, isInSet: false };
    chai.expect(describeHealth({ ...unadmitted, writingMs: 700 })).to.equal(
      "preCandidate:term5:since2100ms:last90:voters3:notInSet:notAdmitted:writing700ms",
    );
  });

  it("shows a leader that has lost contact with its quorum", () => {
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

  it("is described if a box of an earlier version gives no reason", () => {
    chai.expect(
      notLeaders.describeNotLeader({ kind: "notLeader", leader: undefined }),
    ).to.equal("notLeader");
    chai.expect(
      notLeaders.describeNotLeader({ kind: "notLeader", leader: "b" }),
    ).to.equal("follows:b");
  });
});
