import * as chai from "chai";
import * as stopPlans from "./stop_plan.ts";

const SEEDS = Array.from({ length: 100 }, (_, index) => index);

describe("createStops", () => {
  it("returns equal stops for equal seeds and distinct ones for others", () => {
    const texts = SEEDS.map((seed) =>
      JSON.stringify(stopPlans.createStops(seed))
    );
    chai.expect(texts).to.deep.equal(
      SEEDS.map((seed) => JSON.stringify(stopPlans.createStops(seed))),
    );
    chai.expect(new Set(texts).size).to.equal(SEEDS.length);
  });

  it("stops several entry boxes and a store box, none of them twice", () => {
    for (const seed of SEEDS) {
      const stops = stopPlans.createStops(seed);
      const names = stops.map(({ kind, index }) => `${kind} ${index}`);
      chai.expect(new Set(names).size).to.equal(names.length);
      chai.expect(stops.filter(({ kind }) => kind === "entry").length).to.be
        .within(3, 5);
      chai.expect(stops.filter(({ kind }) => kind === "store").length).to.equal(
        1,
      );
    }
  });
});
