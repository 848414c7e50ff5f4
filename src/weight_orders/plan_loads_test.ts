import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as assignEngines from "./assign_engines.ts";
import * as assignParities from "./assign_parities.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as listDueLoads from "./list_due_loads.ts";
import * as planVersion from "./plan_version.ts";

const MODELS = ["a", "b", "c"];

function assignTo(
  engines: readonly string[],
  lag: number,
  previous: assignEngines.EngineModels,
): assignEngines.EngineModels {
  const count = assignEngines.countDesiredEngines(
    engines.length,
    MODELS.length,
    lag,
  );
  return assignEngines.assignEngines({
    engines,
    engineCounts: new Map(MODELS.map((model) => [model, count])),
    previous,
  });
}

describe("planning of weight loads", () => {
  it("gives each model its number of engines, evenly and stably", () => {
    const engine = fastCheck.uniqueArray(fastCheck.nat(20).map(String), {
      maxLength: 12,
    });
    fastCheck.assert(
      fastCheck.property(
        engine,
        engine,
        fastCheck.nat(1),
        (before, after, lag) => {
          const first = assignTo(before, lag, new Map());
          const second = assignTo(after, lag, first);
          const count = assignEngines.countDesiredEngines(after.length, 3, lag);
          for (const model of MODELS) {
            const assigned = [...second.values()].filter((held) =>
              held.has(model)
            );
            chai.expect(assigned).to.have.length(
              after.length === 0 ? 0 : count,
            );
          }
          const sizes = [...second.values()].map((held) => held.size);
          chai.expect(Math.max(0, ...sizes) - Math.min(3, ...sizes)).to.be
            .at.most(1);
          chai.expect([...second.keys()].toSorted()).to.deep.equal(
            after.toSorted(),
          );
          chai.expect(assignTo(after, lag, second)).to.deep.equal(second);
        },
      ),
      { seed: 3, numRuns: 300 },
    );
  });

  it("keeps most assignments when an engine is lost", () => {
    const engines = ["a", "b", "c", "d", "e", "f"];
    const first = assignTo(engines, 1, new Map());
    const second = assignTo(engines.slice(1), 1, first);
    const kept = [...second].flatMap(([id, held]) =>
      [...held].filter((model) => first.get(id)?.has(model))
    );
    chai.expect(kept.length).to.be.at.least(8);
  });

  it("assigns two models per engine where steps may lag", () => {
    const count = assignEngines.countDesiredEngines;
    chai.expect([count(8, 3, 0), count(8, 3, 1)]).to.deep.equal([3, 5]);
    chai.expect([count(6, 1, 1), count(6, 2, 1)]).to.deep.equal([6, 6]);
    chai.expect(count(1, 4, 0)).to.equal(1);
  });

  it("assigns nothing without models", () => {
    const engineModels = assignEngines.assignEngines({
      engines: ["e"],
      engineCounts: new Map(),
      previous: new Map(),
    });
    chai.expect(engineModels.get("e")?.size).to.equal(0);
  });

  describe("due loads", () => {
    const engines = ["a", "b", "c", "d"].map((id) =>
      serverFixtures.createServer(id)
    );
    const engineModels = new Map(
      engines.map((engine) => [engine.id, new Set(["m", "n"])] as const),
    );
    const lags = new Map([["m", 1], ["n", 1]]);
    const parities = assignParities.assignParities({
      models: ["m", "n"],
      engineModels,
      previous: new Map(),
      getVersion: () => 1,
    });

    function list(
      versions: Readonly<Record<string, number>>,
      getVersion: (id: string, model: string) => number,
    ): readonly string[] {
      return listDueLoads.listDueLoads({
        engines,
        parities,
        lags,
        versions: new Map(Object.entries(versions)),
        getVersion: (engine, model) => getVersion(engine.id, model),
      }).map((load) => `${load.engine.id} ${load.model} ${load.version}`);
    }

    it("concern half of the engines where steps may lag", () => {
      const loads = list({ m: 2, n: 1 }, () => 1);
      chai.expect(loads).to.deep.equal(["a m 2", "c m 2"]);
    });

    it("are empty once the engines of its parity hold the newest version", () => {
      chai.expect(list({ m: 2, n: 1 }, (id) => id < "c" ? 2 : 1)).to.have
        .length(1);
      const current = new Set(["a", "c"]);
      chai.expect(list({ m: 2, n: 1 }, (id) => current.has(id) ? 2 : 1)).to.deep
        .equal([]);
    });

    it("start with the model that the fewest engines can serve", () => {
      const loads = list(
        { m: 3, n: 3 },
        (id, model) => model === "n" && id === "a" ? 1 : 2,
      );
      chai.expect(loads[0]).to.equal("a n 3");
    });
  });

  it("plans every version for each engine where steps may not lag", () => {
    const targets = [0, 1].map((parity) =>
      planVersion.planVersion({ newest: 7, lag: 0, parity })
    );
    chai.expect(targets).to.deep.equal([7, 7]);
  });

  it("alternates engines where steps may lag, at most one version behind", () => {
    for (let newest = 2; newest < 8; newest += 1) {
      const targets = [0, 1, 2, 3].map((parity) =>
        planVersion.planVersion({ newest, lag: 1, parity })
      );
      chai.expect(targets.filter((version) => version === newest)).to.have
        .length(2);
      chai.expect(Math.min(...targets)).to.equal(newest - 1);
    }
  });
});
