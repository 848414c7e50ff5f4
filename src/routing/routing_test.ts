import * as chai from "chai";
import * as chooseServer from "./choose_server.ts";
import * as prefixTables from "./prefix_table.ts";

function createCandidate(
  id: string,
  fields: Partial<chooseServer.Candidate> = {},
): chooseServer.Candidate {
  return {
    server: {
      id,
      service: "lm",
      kind: "language",
      address: "127.0.0.1",
      port: 1,
      failureDomain: "d",
      state: "live",
      checksFence: false,
    },
    slots: 10,
    expectedRequests: 0,
    models: new Map([["lm", 3]]),
    isSuspect: false,
    role: "mixed",
    ...fields,
  };
}

function createRequirements(
  fields: Partial<chooseServer.RoutingRequirements> = {},
): chooseServer.RoutingRequirements {
  return {
    service: "lm",
    use: "caller",
    model: "lm",
    minVersion: 0,
    excluded: new Set(),
    prefixHolders: new Set(),
    ...fields,
  };
}

function choose(
  candidates: readonly chooseServer.Candidate[],
  requirements: chooseServer.RoutingRequirements,
  draws: readonly number[] = [0, 0.99],
): string | undefined {
  let turn = 0;
  const server = chooseServer.chooseServer(
    candidates,
    requirements,
    () => draws[turn++ % draws.length] ?? 0,
  );
  return server?.id;
}

describe("routing", () => {
  it("takes the less loaded of the two servers that are drawn", () => {
    const pair = [
      createCandidate("a", { expectedRequests: 5 }),
      createCandidate("b", { expectedRequests: 4 }),
    ];
    chai.expect(choose(pair, createRequirements())).to.equal("b");
    chai.expect(
      choose([
        createCandidate("a", { expectedRequests: 5, slots: 100 }),
        createCandidate("b", { expectedRequests: 4 }),
      ], createRequirements()),
    ).to.equal("a");
  });

  it("never takes a leaving, excluded or outdated server", () => {
    const leaving = createCandidate("a");
    const candidates = [
      { ...leaving, server: { ...leaving.server, state: "leaving" as const } },
      createCandidate("b"),
      createCandidate("c", { models: new Map([["lm", 2]]) }),
    ];
    chai.expect(choose(candidates, createRequirements({ minVersion: 3 }))).to
      .equal(
        "b",
      );
    chai.expect(
      choose(
        candidates,
        createRequirements({ minVersion: 3, excluded: new Set(["b"]) }),
      ),
    ).to.equal(undefined);
    chai.expect(choose(candidates, createRequirements({ model: "other" }))).to
      .equal(
        undefined,
      );
  });

  it("keeps to an engine's role", () => {
    const candidates = [
      createCandidate("a", { role: "rollout" }),
      createCandidate("b", { role: "caller", expectedRequests: 9 }),
    ];
    chai.expect(choose(candidates, createRequirements())).to.equal("b");
    chai.expect(choose(candidates, createRequirements({ use: "rollout" }))).to
      .equal(
        "a",
      );
  });

  it("takes a suspect server only when all are suspect", () => {
    const suspect = createCandidate("a", { isSuspect: true });
    chai.expect(
      choose(
        [suspect, createCandidate("b", { expectedRequests: 9 })],
        createRequirements(),
      ),
    ).to.equal("b");
    chai.expect(choose([suspect], createRequirements())).to.equal("a");
  });

  it("takes the server that holds the prefix while its load is near the mean", () => {
    const need = createRequirements({ prefixHolders: new Set(["a"]) });
    const others = ["b", "c", "d"].map((id) =>
      createCandidate(id, { expectedRequests: 4 })
    );
    chai.expect(
      choose([createCandidate("a", { expectedRequests: 5 }), ...others], need),
    ).to.equal("a");
    chai.expect(
      choose([createCandidate("a", { expectedRequests: 9 }), ...others], need),
    ).to.equal("d");
  });

  it("forgets a server's prefixes when they are evicted or its events have a gap", () => {
    const table = new prefixTables.PrefixTable();
    table.add("p", "a");
    table.add("p", "b");
    table.add("q", "b");
    table.remove("p", "a");
    chai.expect([...table.findServers("p")]).to.deep.equal(["b"]);
    table.removeServer("b");
    chai.expect(table.findServers("p").size + table.findServers("q").size).to
      .equal(0);
  });
});
