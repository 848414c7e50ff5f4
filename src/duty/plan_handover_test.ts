import * as chai from "chai";
import * as planHandover from "./plan_handover.ts";

describe("handover to the former holder", () => {
  const responsive = { id: "b", isAdmitted: true, matchIndex: 9, silentMs: 40 };
  const input: planHandover.HandoverInput = {
    holder: "b",
    self: "a",
    isHolderLeaving: false,
    leadershipMs: 100,
    claimDelayMs: 3_250,
    voters: ["a", "b", "c"],
    followers: [responsive],
  };

  it("lets a sound former holder lead, which need not wait", () => {
    chai.expect(planHandover.planHandover(input)).to.equal("b");
  });

  const refusals: Readonly<
    Record<string, Partial<planHandover.HandoverInput>>
  > = {
    "it is the holder itself": { holder: "a" },
    "no box has ordered": { holder: undefined },
    "the holder is being stopped or emptied": { isHolderLeaving: true },
    "the wait is half over": { leadershipMs: 2_000 },
    "the holder does not vote": { voters: ["a", "c", "d"] },
    "the holder is silent": { followers: [{ ...responsive, silentMs: 900 }] },
    "the holder lost its disk": {
      followers: [{ ...responsive, isAdmitted: false }],
    },
  };
  for (const [reason, changes] of Object.entries(refusals)) {
    it(`goes on leading where ${reason}`, () => {
      const plan = planHandover.planHandover({ ...input, ...changes });
      chai.expect(plan).to.equal(undefined);
    });
  }
});
