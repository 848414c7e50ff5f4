import * as chai from "chai";
import type * as consensus from "../consensus/mod.ts";
import * as planVoters from "./plan_voters.ts";

/*
 * A voter that lost its disk answers heartbeats while it is fed, but counts in
 * no quorum until it is admitted. The plan of voters looks at silence alone: of
 * four voters, three wanted, it drops the one that was silent for some ms
 * longer, though that one is whole, and keeps the emptied one; and it neither
 * feeds nor adds a spare for a voter that answers but is never admitted. With
 * either of them the loss of one disk more leaves one admitted voter of three.
 */

const COMMIT_INDEX = 2_000;

function createFollower(
  id: string,
  changes: Partial<consensus.FollowerStatus> = {},
): consensus.FollowerStatus {
  return {
    id,
    matchIndex: COMMIT_INDEX,
    silentMs: 10,
    isAdmitted: true,
    ...changes,
  };
}

const UNADMITTED = createFollower("b", { matchIndex: 0, isAdmitted: false });

const INPUT: planVoters.VoterPlanInput = {
  self: "a",
  voters: ["a", "b", "c"],
  wanted: 3,
  commitIndex: COMMIT_INDEX,
  leadershipMs: 60_000,
  followers: [UNADMITTED, createFollower("c"), createFollower("d")],
  candidates: ["a", "b", "c", "d"],
  failureDomains: new Map([..."abcd"].map((id) => [id, `of ${id}`])),
  retiring: [],
  failureTimeoutMs: 3_000,
};

describe("plan of voters with an emptied one that answers", () => {
  it("drops the emptied one of four, not a whole one that was quiet 20 ms longer", () => {
    const plannedVoters = planVoters.planVoters({
      ...INPUT,
      voters: ["a", "b", "c", "d"],
      followers: [
        UNADMITTED,
        createFollower("c", { silentMs: 30 }),
        createFollower("d"),
      ],
    });
    chai.expect(plannedVoters).to.deep.equal(["a", "c", "d"]);
  });

  it("feeds and adds a spare for a voter that answers but is not admitted", () => {
    const learners = planVoters.chooseLearners({
      ...INPUT,
      followers: [UNADMITTED, createFollower("c")],
    });
    chai.expect(learners, "fed").to.deep.equal(["d"]);
    const plannedVoters = planVoters.planVoters(INPUT);
    chai.expect(plannedVoters, "planned").to.deep.equal(["a", "b", "c", "d"]);
  });
});
