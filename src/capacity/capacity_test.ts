import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as capacityStates from "./capacity_state.ts";
import * as demandWindows from "./demand_window.ts";
import * as planCapacity from "./plan_capacity.ts";

const DOMAIN: planCapacity.DomainEngines = {
  domain: "a",
  lasting: 2,
  orderedSpot: 0,
  isUnavailable: false,
};

const INPUT: planCapacity.CapacityInput = {
  policy: { kind: "planned", headroom: 1.25 },
  limits: {
    minimum: 1,
    maximum: 5,
    spotPrice: 0.15,
    prices: new Map([["a", 1], ["b", 0.8], ["c", 1.25]]),
  },
  baseline: 6,
  slots: 8,
  neededSlots: 48,
  domains: ["a", "b", "c"].map((domain) => ({ ...DOMAIN, domain })),
};

function plan(
  changes: Partial<planCapacity.CapacityInput>,
): Readonly<Record<string, number>> {
  const plans = planCapacity.planCapacity({ ...INPUT, ...changes });
  return Object.fromEntries(
    plans.map(({ domain, desired }) => [domain, desired]),
  );
}

describe("capacity plan", () => {
  it("adds spot engines for demand beyond the lasting engines", () => {
    chai.expect(plan({})).to.deep.equal({ a: 1, b: 1 });
    chai.expect(plan({ neededSlots: 38 })).to.deep.equal({});
  });

  it("spreads spot engines evenly, the cheapest domain first", () => {
    chai.expect(plan({ neededSlots: 45 })).to.deep.equal({ a: 1, b: 1 });
    chai.expect(plan({ neededSlots: 40 })).to.deep.equal({ b: 1 });
    chai.expect(plan({ neededSlots: 64 })).to.deep.equal({ a: 1, b: 2, c: 1 });
  });

  it("never exceeds the maximum of a failure domain", () => {
    chai.expect(plan({ neededSlots: 10_000 })).to.deep.equal({
      a: 3,
      b: 3,
      c: 3,
    });
  });

  it("uses other failure domains while one is unavailable", () => {
    const domains = INPUT.domains.map((item) => ({
      ...item,
      isUnavailable: item.domain === "b",
    }));
    chai.expect(plan({ domains })).to.deep.equal({ a: 1, c: 1 });
  });

  it("keeps a small surplus and releases a large one", () => {
    const domains = INPUT.domains.map((item) => ({
      ...item,
      orderedSpot: 1,
    }));
    chai.expect(plan({ domains, neededSlots: 45 })).to.deep.equal({});
    chai.expect(plan({ domains, neededSlots: 0 })).to.deep.equal({
      a: 0,
      b: 0,
      c: 0,
    });
  });

  it("replaces lost lasting engines up to the baseline with the fixed policy", () => {
    const [first, ...rest] = INPUT.domains;
    const domains = [{ ...first!, lasting: 0 }, ...rest];
    const policy = { kind: "fixed" } as const;
    chai.expect(plan({ policy, domains, neededSlots: 500 })).to.deep.equal({
      a: 1,
      b: 1,
    });
  });

  it("orders no spot engines that are too expensive or not offered", () => {
    for (const spotPrice of [0.9, undefined]) {
      const limits = { ...INPUT.limits, spotPrice };
      chai.expect(plan({ limits, neededSlots: 500 })).to.deep.equal({});
    }
  });

  it("is stable: a fulfilled plan needs no change", () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.nat(200),
        fastCheck.array(fastCheck.boolean(), { minLength: 3, maxLength: 3 }),
        (neededSlots, unavailable) => {
          const domains = INPUT.domains.map((item, at) => ({
            ...item,
            isUnavailable: unavailable[at] === true,
          }));
          const first = plan({ neededSlots, domains });
          const after = domains.map((item) => ({
            ...item,
            orderedSpot: first[item.domain] ?? 0,
          }));
          chai.expect(plan({ neededSlots, domains: after })).to.deep.equal({});
        },
      ),
      { seed: 11, numRuns: 300 },
    );
  });
});

describe("demand window", () => {
  it("gives the peak within the window", () => {
    const demand = new demandWindows.DemandWindow(1_000);
    demand.record(0, 50);
    demand.record(500, 20);
    chai.expect(demand.getPeak()).to.equal(50);
    demand.record(1_001, 10);
    chai.expect(demand.getPeak()).to.equal(20);
    demand.record(9_000, 0);
    chai.expect(demand.getPeak()).to.equal(0);
  });
});

describe("capacity state", () => {
  it("keeps orders and baseline across a restart", () => {
    const state = new capacityStates.CapacityState();
    const order = { service: "lm", domain: "a", engines: "spot" } as const;
    state.apply({ kind: "noteCapacityBase", service: "lm", engines: 8 });
    state.apply({ kind: "noteCapacityBase", service: "lm", engines: 9 });
    state.apply({ kind: "noteCapacityOrder", order: { ...order, desired: 3 } });
    state.apply({ kind: "noteCapacityOrder", order: { ...order, desired: 2 } });
    const restored = new capacityStates.CapacityState();
    restored.restore(JSON.parse(JSON.stringify(state.save())));
    chai.expect(restored.getBaseline("lm")).to.equal(8);
    chai.expect(restored.getDesiredCount(order)).to.equal(2);
    chai.expect(restored.getDesiredCount({ ...order, engines: "lasting" })).to
      .equal(
        0,
      );
  });
});
