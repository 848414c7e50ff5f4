import * as chai from "chai";
import * as consensus from "../consensus/mod.ts";
import * as bootstrapServices from "./bootstrap_service.ts";
import * as planVoters from "./plan_voters.ts";

function createFollower(id: string, silentMs = 10, matchIndex = 100) {
  return { id, matchIndex, silentMs, isAdmitted: true, isReplaceable: false };
}

const INPUT: planVoters.VoterPlanInput = {
  self: "a",
  voters: ["a", "b", "c"],
  wanted: 3,
  minVoters: 3,
  standbys: 0,
  commitIndex: 100,
  leadershipMs: 60_000,
  followers: [createFollower("b"), createFollower("c"), createFollower("d")],
  candidates: ["a", "b", "c", "d"],
  failureDomains: new Map([..."abcdefg"].map((id) => [id, `of ${id}`])),
  retiring: [],
  failureTimeoutMs: 3_000,
};

function plan(
  changes: Partial<planVoters.VoterPlanInput>,
): readonly string[] | undefined {
  return planVoters.planVoters({ ...INPUT, ...changes });
}

describe("voter plan", () => {
  it("changes nothing and chooses no learner while all voters respond", () => {
    chai.expect(plan({})).to.equal(undefined);
    chai.expect(planVoters.chooseLearners(INPUT)).to.deep.equal([]);
  });

  it("keeps as many learners up to date as standbys are wanted", () => {
    const candidates = ["a", "b", "c", "d", "e"];
    const input = { ...INPUT, candidates, standbys: 1 };
    chai.expect(planVoters.chooseLearners(input)).to.deep.equal(["d"]);
    const failedVoter = createFollower("b", 4_000);
    const followers = [failedVoter, ...INPUT.followers.slice(1)];
    chai.expect(planVoters.chooseLearners({ ...input, followers })).to.deep
      .equal(["d", "e"]);
  });

  it("adds a learner for a silent voter before it removes that voter", () => {
    const followers = [
      createFollower("b", 4_000),
      createFollower("c"),
      createFollower("d"),
    ];
    const plannedVoters = plan({ followers });
    chai.expect(plannedVoters).to.deep.equal(["a", "b", "c", "d"]);
    chai.expect(plan({ followers, voters: plannedVoters ?? [] })).to.deep.equal(
      [
        "a",
        "c",
        "d",
      ],
    );
    chai.expect(planVoters.chooseLearners({ ...INPUT, followers })).to.deep
      .equal(["d"]);
  });

  it("chooses one learner per replaceable voter, the most up-to-date first", () => {
    const followers = [
      createFollower("b", 4_000),
      createFollower("c"),
      createFollower("d", 10, 20),
      createFollower("e", 10, 60),
      createFollower("f", 9_000, 90),
    ];
    const candidates = ["a", "b", "c", "d", "e", "f", "g"];
    const input = { ...INPUT, followers, candidates };
    chai.expect(planVoters.chooseLearners(input)).to.deep.equal(["e"]);
    const fourVoters = { ...input, wanted: 4 };
    chai.expect(planVoters.chooseLearners(fourVoters)).to.deep.equal([
      "e",
      "d",
    ]);
    // An unresponsive non-voter is chosen only if no other is left.
    const fiveVoters = { ...input, wanted: 5 };
    chai.expect(planVoters.chooseLearners(fiveVoters)).to.deep.equal([
      "e",
      "d",
      "g",
    ]);
  });

  it("chooses a learner in the failure domain with the fewest retained voters", () => {
    const followers = [
      createFollower("b", 4_000),
      createFollower("c"),
      createFollower("d", 10, 90),
      createFollower("e", 10, 10),
    ];
    const failureDomains = new Map([
      ["a", "north"],
      ["b", "south"],
      ["c", "west"],
      ["d", "north"],
      ["e", "south"],
    ]);
    const candidates = ["a", "b", "c", "d", "e"];
    chai.expect(planVoters.chooseLearners({
      ...INPUT,
      followers,
      failureDomains,
      candidates,
    })).to.deep.equal(["e"]);
  });

  it("promotes a learner that is caught up, and none that lags or is unadmitted", () => {
    const failedVoter = createFollower("b", 4_000);
    const commitIndex = 1_000;
    function planWith(candidate: consensus.FollowerStatus) {
      const followers = [
        failedVoter,
        createFollower("c", 10, commitIndex),
        candidate,
      ];
      return plan({ commitIndex, followers });
    }
    const nearIndex = commitIndex - consensus.MAX_CAUGHT_UP_LAG_ENTRIES;
    chai.expect(planWith(createFollower("d", 10, nearIndex))).to.deep.equal(
      ["a", "b", "c", "d"],
    );
    const behind = createFollower("d", 10, nearIndex - 1);
    const unadmitted = {
      ...createFollower("d", 10, commitIndex),
      isAdmitted: false,
    };
    chai.expect(planWith(behind)).to.equal(undefined);
    chai.expect(planWith(unadmitted)).to.equal(undefined);
  });

  it("replaces a retiring voter and does not alternate between voter sets", () => {
    const retiring = ["b"];
    chai.expect(plan({ retiring })).to.deep.equal(["a", "b", "c", "d"]);
    const voters = ["a", "b", "c", "d"];
    chai.expect(plan({ retiring, voters })).to.deep.equal(["a", "c", "d"]);
    // A retiring leader transfers leadership instead of changing the voters.
    chai.expect(plan({ retiring: ["a"] })).to.equal(undefined);
    chai.expect(plan({ retiring: ["a"], voters })).to.equal(undefined);
  });

  it("targets an odd number of voters, at least the minimum", () => {
    chai.expect(planVoters.countTargetVoters(3, 9, 2)).to.equal(3);
    chai.expect(planVoters.countTargetVoters(3, 9, 4)).to.equal(3);
    chai.expect(planVoters.countTargetVoters(3, 9, 8)).to.equal(7);
    chai.expect(planVoters.countTargetVoters(3, 9, 20)).to.equal(9);
  });

  it("spreads an odd number of initial voters over the failure domains", () => {
    const requests = ["n1", "n2", "n3", "s1", "e1"].map((id) => ({
      group: "g",
      id,
      failureDomain: id[0] ?? "",
      wanted: 4,
      least: 3,
    }));
    chai.expect(bootstrapServices.chooseInitialVoters(requests)).to.deep.equal([
      "e1",
      "n1",
      "s1",
    ]);
  });
});
