import * as chai from "chai";
import * as planHandover from "./plan_handover.ts";

describe("handover to the previous holder", () => {
  const responsive = {
    id: "b",
    isAdmitted: true,
    isReplaceable: false,
    matchIndex: 9,
    silentMs: 40,
  };
  const input: planHandover.HandoverInput = {
    holder: "b",
    self: "a",
    isHolderLeaving: false,
    leadershipMs: 100,
    claimDelayMs: 3_250,
    voters: ["a", "b", "c"],
    followers: [responsive],
  };

  it("transfers leadership to a responsive previous holder", () => {
    chai.expect(planHandover.planHandover(input)).to.equal("b");
  });

  const refusals: Readonly<
    Record<string, Partial<planHandover.HandoverInput>>
  > = {
    "this box is the previous holder": { holder: "a" },
    "there is no previous holder": { holder: undefined },
    "the previous holder is being stopped or drained": {
      isHolderLeaving: true,
    },
    "half of the waiting time has passed": { leadershipMs: 2_000 },
    "the previous holder is not a voter": { voters: ["a", "c", "d"] },
    "the previous holder is silent": {
      followers: [{ ...responsive, silentMs: 900 }],
    },
    "the previous holder is not admitted as a follower": {
      followers: [{ ...responsive, isAdmitted: false }],
    },
  };
  for (const [reason, changes] of Object.entries(refusals)) {
    it(`keeps leading if ${reason}`, () => {
      const plan = planHandover.planHandover({ ...input, ...changes });
      chai.expect(plan).to.equal(undefined);
    });
  }
});
