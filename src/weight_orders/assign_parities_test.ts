import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as assignParities from "./assign_parities.ts";

function assign(
  engines: readonly string[],
  previous: assignParities.EngineParities = new Map(),
  version = 1,
): assignParities.EngineParities {
  return assignParities.assignParities({
    models: ["m"],
    engineModels: new Map(engines.map((id) => [id, new Set(["m"])] as const)),
    previous,
    getVersion: () => version,
  });
}

function list(parities: assignParities.EngineParities): readonly (readonly [
  string,
  assignParities.VersionParity,
])[] {
  return [...parities.get("m") ?? []];
}

describe("parity assignment", () => {
  it("keeps parities when a new engine sorts before the others", () => {
    // If parity followed the sorted position, one new engine would make all
    // others load the newest version at once.
    const before = assign(["b", "c", "d", "e"]);
    const after = assign(["a", "b", "c", "d", "e"], before);
    for (const [id, parity] of list(before)) {
      chai.expect(after.get("m")?.get(id)).to.equal(parity);
    }
  });

  it("splits engines evenly with the fewest possible changes", () => {
    const ids = fastCheck.uniqueArray(fastCheck.nat(30).map(String), {
      maxLength: 15,
    });
    fastCheck.assert(
      fastCheck.property(ids, ids, (first, second) => {
        const before = assign(first);
        const after = assign(second, before);
        const odd = list(after).filter(([, parity]) => parity === 1).length;
        const even = second.length - odd;
        chai.expect(Math.abs(even - odd)).to.be.at.most(1);
        const kept = list(before).filter(([id]) => second.includes(id));
        const keptOdd = kept.filter(([, parity]) => parity === 1).length;
        const changed = kept.filter(([id, parity]) =>
          after.get("m")?.get(id) !== parity
        );
        const surplus = Math.abs(kept.length - 2 * keptOdd) / 2;
        chai.expect(changed.length).to.be.at.most(Math.ceil(surplus));
        chai.expect(assign(second, after)).to.deep.equal(after);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it("derives parities from loaded versions without a previous assignment", () => {
    const parities = assignParities.assignParities({
      models: ["m"],
      engineModels: new Map(
        ["a", "b", "c"].map((id) => [id, new Set(["m"])] as const),
      ),
      previous: new Map(),
      getVersion: (id) => id === "b" ? 7 : 8,
    });
    chai.expect(list(parities)).to.deep.equal([["a", 0], ["b", 1], ["c", 0]]);
  });
});
