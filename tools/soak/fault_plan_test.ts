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

describe("createSeriesPlan", () => {
  const plans = SEEDS.map((seed) => faultPlans.createSeriesPlan(seed));

  it("returns equal plans for equal seeds and distinct ones for others", () => {
    chai.expect(plans).to.deep.equal(
      SEEDS.map((seed) => faultPlans.createSeriesPlan(seed)),
    );
    const texts = plans.map((plan) => JSON.stringify(plan));
    chai.expect(new Set(texts).size).to.equal(SEEDS.length);
  });

  it("loses several disks in series, each of a voter that counts", () => {
    for (const plan of plans) {
      const losses = plan.flatMap(({ fault }) =>
        fault.kind === "loseDisk" ? [fault.store.kind] : []
      );
      chai.expect(losses.length).to.be.within(3, 5);
      for (const kind of losses) {
        chai.expect(kind).to.be.oneOf(["counted", "countedFollower"]);
      }
    }
  });

  it("restarts stores in between, planned and unplanned", () => {
    const kinds = plans.flat().map(({ fault }) => fault.kind);
    chai.expect([...new Set(kinds)].toSorted()).to.deep.equal(
      ["loseAll", "loseDisk", "pause", "restart", "stop"],
    );
  });

  it("ends up to 5 s after an election, with a voter that counts", () => {
    const endDelays = plans.map((plan) => {
      const fault = plan.at(-1)?.fault;
      if (fault?.kind !== "loseAll") return undefined;
      chai.expect(fault.store.kind).to.be.oneOf(["counted", "countedFollower"]);
      return fault.afterElectionMs;
    });
    for (const delayMs of endDelays) {
      chai.expect(delayMs).to.be.within(0, 5_000);
    }
  });

  it("keeps ascending times", () => {
    for (const plan of plans) {
      const times = plan.map(({ atMs }) => atMs);
      chai.expect(times).to.deep.equal(times.toSorted((a, b) => a - b));
    }
  });
});
