import * as chai from "chai";
import * as planOrders from "./plan_orders.ts";

const LIMITS = { maxSwapFraction: 0.5, nowMs: 1_000 };

function createEngine(
  id: string,
  weightVersion: number,
  fields: Partial<planOrders.EngineView> = {},
): planOrders.EngineView {
  return {
    id,
    models: new Map([["lm", weightVersion]]),
    isBusy: false,
    notBeforeMs: 0,
    role: "mixed",
    wantedRole: "mixed",
    ...fields,
  };
}

describe("weight rollout", () => {
  it("orders the newest version and keeps enough engines serving", () => {
    const engines = ["a", "b", "c", "d"].map((id) => createEngine(id, 1));
    const orders = planOrders.planOrders(engines, [{
      model: "lm",
      weightVersion: 5,
    }], LIMITS);
    chai.expect(orders).to.deep.equal([
      {
        engineId: "a",
        action: { kind: "load", model: "lm", weightVersion: 5 },
      },
      {
        engineId: "b",
        action: { kind: "load", model: "lm", weightVersion: 5 },
      },
    ]);
  });

  it("counts engines that are already switching against the limit", () => {
    const engines = [
      createEngine("a", 1, { isBusy: true }),
      createEngine("b", 1),
      createEngine("c", 1),
      createEngine("d", 1),
    ];
    const orders = planOrders.planOrders(engines, [{
      model: "lm",
      weightVersion: 2,
    }], LIMITS);
    chai.expect(orders.map((order) => order.engineId)).to.deep.equal(["b"]);
  });

  it("never orders an older version and backs off after a failed order", () => {
    const ahead = createEngine("a", 9);
    const waiting = createEngine("b", 1, { notBeforeMs: 1_001 });
    chai.expect(
      planOrders.planOrders([ahead, waiting], [{
        model: "lm",
        weightVersion: 5,
      }], LIMITS),
    ).to.deep.equal([]);
  });

  it("orders the most outdated model first", () => {
    const engine = {
      ...createEngine("a", 4),
      models: new Map([["lm", 4], ["lm:x", 1]]),
    };
    const targets = [{ model: "lm", weightVersion: 5 }, {
      model: "lm:x",
      weightVersion: 5,
    }];
    chai.expect(planOrders.planOrders([engine], targets, LIMITS)).to.deep.equal(
      [{
        engineId: "a",
        action: { kind: "loadAdapter", model: "lm:x", weightVersion: 5 },
      }],
    );
  });

  it("orders a role change before a load", () => {
    const engine = createEngine("a", 1, { wantedRole: "rollout" });
    chai.expect(
      planOrders.planOrders(
        [engine],
        [{ model: "lm", weightVersion: 5 }],
        LIMITS,
      ),
    )
      .to.deep.equal([{
        engineId: "a",
        action: { kind: "setRole", role: "rollout" },
      }]);
  });
});
