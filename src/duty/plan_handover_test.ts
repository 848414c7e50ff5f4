import * as chai from "chai";
import * as planHandover from "./plan_handover.ts";

describe("handover to the former holder", () => {
  const sound = { id: "b", isAdmitted: true, matchIndex: 9, silentMs: 40 };
  const situation: planHandover.HandoverSituation = {
    holder: "b",
    self: "a",
    isHolderLeaving: false,
    reignMs: 100,
    waitMs: 3_250,
    voters: ["a", "b", "c"],
    followers: [sound],
  };

  it("lets a sound former holder lead, which need not wait", () => {
    chai.expect(planHandover.planHandover(situation)).to.equal("b");
  });

  const kept: Readonly<
    Record<string, Partial<planHandover.HandoverSituation>>
  > = {
    "it is the holder itself": { holder: "a" },
    "no box has ordered": { holder: undefined },
    "the holder is being stopped or emptied": { isHolderLeaving: true },
    "the wait is half over": { reignMs: 2_000 },
    "the holder does not vote": { voters: ["a", "c", "d"] },
    "the holder is silent": { followers: [{ ...sound, silentMs: 900 }] },
    "the holder lost its disk": {
      followers: [{ ...sound, isAdmitted: false }],
    },
  };
  for (const [reason, changes] of Object.entries(kept)) {
    it(`goes on leading where ${reason}`, () => {
      const plan = planHandover.planHandover({ ...situation, ...changes });
      chai.expect(plan).to.equal(undefined);
    });
  }
});
