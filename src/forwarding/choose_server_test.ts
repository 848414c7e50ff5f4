import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as chooseServer from "./choose_server.ts";
import * as serverLoads from "./server_loads.ts";

describe("chooseServer", () => {
  const servers = ["a", "b", "c"].map((id) =>
    serverFixtures.createServer(id, { service: "app", slots: 4 })
  );
  let clock = new clocks.FakeClock(1_000);
  let loads = new serverLoads.ServerLoads(clock);

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    loads = new serverLoads.ServerLoads(clock);
  });

  function choose(
    overrides: Partial<chooseServer.ServerChoiceOptions> = {},
  ): registry.RegisteredServer | undefined {
    return chooseServer.chooseServer({
      servers,
      loads,
      tried: new Set(),
      refused: new Set(),
      avoidsFull: true,
      failureDomain: servers[0]!.failureDomain,
      draw: () => 0.5,
      ...overrides,
    });
  }

  it("excludes a server that refused as full until it answers or the mark expires", () => {
    for (const id of ["a", "c"]) loads.avoid(id);
    loads.markFull("b");
    chai.expect(choose()?.id).to.not.equal("b");
    chai.expect(choose({ avoidsFull: false })?.id).to.equal("b");
    loads.recordStart("b");
    loads.recordEnd("b", 40);
    chai.expect(choose()?.id).to.equal("b");
    loads.markFull("b");
    clock.advance(30);
    chai.expect(choose()?.id).to.equal("b");
  });

  it("avoids a temporarily slowed server without raising its mean duration", () => {
    const slow = { running: 0, waiting: 0, slowness: 2.5 };
    for (const { id } of servers) loads.recordStart(id);
    loads.recordEnd("a", 100, slow.slowness);
    loads.recordReport("a", slow);
    for (const id of ["b", "c"]) loads.recordEnd(id, 44);
    chai.expect(loads.getMeanDurationMs("a")).to.be.closeTo(40, 0.01);
    chai.expect(choose()?.id).to.not.equal("a");
    clock.advance(3_000);
    chai.expect(choose()?.id).to.equal("a");
  });

  it("returns no server if all are marked as full", () => {
    for (const { id } of servers) loads.markFull(id);
    chai.expect(choose()).to.equal(undefined);
  });

  it("finds the only server that is not full among many", () => {
    const many = Array.from(
      { length: 1_800 },
      (_, index) =>
        serverFixtures.createServer(`s${index}`, { service: "app", slots: 4 }),
    );
    for (const { id } of many.slice(0, 1_799)) loads.markFull(id);
    chai.expect(choose({ servers: many })?.id).to.equal("s1799");
  });
});
