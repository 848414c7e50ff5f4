import * as chai from "chai";
import * as faultPlans from "./fault_plan.ts";

const SEEDS = Array.from({ length: 200 }, (_, index) => index);

describe("createPlan", () => {
  it("returns equal plans for equal seeds and distinct ones for others", () => {
    for (const seed of SEEDS) {
      chai.expect(faultPlans.createPlan(seed)).to.deep.equal(
        faultPlans.createPlan(seed),
      );
    }
    const texts = SEEDS.map((seed) =>
      JSON.stringify(faultPlans.createPlan(seed))
    );
    chai.expect(new Set(texts).size).to.equal(SEEDS.length);
  });

  it("ends with the only power loss of all boxes", () => {
    for (const seed of SEEDS) {
      const kinds = faultPlans.createPlan(seed).map(({ fault }) => fault.kind);
      chai.expect(kinds.at(-1)).to.equal("loseAll");
      chai.expect(kinds.filter((kind) => kind === "loseAll").length).to.equal(
        1,
      );
    }
  });
});
