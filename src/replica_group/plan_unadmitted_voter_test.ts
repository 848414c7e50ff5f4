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
    isReplaceable: false,
    ...changes,
  };
}

const UNADMITTED = createFollower("b", { matchIndex: 0, isAdmitted: false });
const VOTELESS = { ...UNADMITTED, isReplaceable: true };

const INPUT: planVoters.VoterPlanInput = {
  self: "a",
  voters: ["a", "b", "c"],
  wanted: 3,
  minVoters: 3,
  standbys: 0,
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

  it("chooses a learner and replaces the voter that can't vote in one step", () => {
    const learners = planVoters.chooseLearners({
      ...INPUT,
      followers: [UNADMITTED, createFollower("c")],
    });
    chai.expect(learners, "learners").to.deep.equal(["d"]);
    const followers = [VOTELESS, createFollower("c"), createFollower("d")];
    const plannedVoters = planVoters.planVoters({ ...INPUT, followers });
    chai.expect(plannedVoters, "voters").to.deep.equal(["a", "c", "d"]);
  });

  it("replaces it in the first moment of a reign", () => {
    const followers = [VOTELESS, createFollower("c"), createFollower("d")];
    const voters = planVoters.planVoters({
      ...INPUT,
      followers,
      leadershipMs: 0,
    });
    chai.expect(voters).to.deep.equal(["a", "c", "d"]);
  });

  it("keeps it while nobody can take its place", () => {
    const followers = [
      VOTELESS,
      createFollower("c"),
      createFollower("d", { matchIndex: 0, isAdmitted: false }),
    ];
    const voters = planVoters.planVoters({ ...INPUT, followers });
    chai.expect(voters).to.equal(undefined);
  });

  it("waits for a voter that is about to be admitted", () => {
    chai.expect(planVoters.planVoters(INPUT)).to.equal(undefined);
  });

  it("removes it without a replacement if enough others stay", () => {
    const voters = ["a", "b", "c", "d", "e"];
    const others = ["c", "d", "e"].map((id) => createFollower(id));
    const followers = [VOTELESS, ...others];
    const input = { ...INPUT, wanted: 5, voters, followers };
    chai.expect(planVoters.planVoters(input)).to.deep.equal([
      "a",
      "c",
      "d",
      "e",
    ]);
  });

  it("replaces two of five at once", () => {
    const voters = ["a", "b", "c", "d", "e"];
    const followers = [
      VOTELESS,
      { ...VOTELESS, id: "c" },
      ...["d", "e", "f", "g"].map((id) => createFollower(id)),
    ];
    const input = {
      ...INPUT,
      wanted: 5,
      minVoters: 5,
      voters,
      followers,
      candidates: [..."abcdefg"],
    };
    chai.expect(planVoters.planVoters(input)).to.deep.equal([
      "a",
      "d",
      "e",
      "f",
      "g",
    ]);
  });
});
