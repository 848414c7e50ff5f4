import * as chai from "chai";
import type * as consensus from "../consensus/mod.ts";
import * as planVoters from "./plan_voters.ts";

/*
 * A voter that lost its disk answers heartbeats, but counts in no quorum until
 * it is admitted again. The plan must prefer admitted voters to it.
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

describe("voter plan with a responsive but unadmitted voter", () => {
  it("removes the unadmitted one of four, not an admitted one that was silent longer", () => {
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

  it("chooses and adds a learner to replace the unadmitted voter", () => {
    const learners = planVoters.chooseLearners({
      ...INPUT,
      followers: [UNADMITTED, createFollower("c")],
    });
    chai.expect(learners, "learners").to.deep.equal(["d"]);
    const plannedVoters = planVoters.planVoters(INPUT);
    chai.expect(plannedVoters, "voters").to.deep.equal(["a", "b", "c", "d"]);
  });
});
