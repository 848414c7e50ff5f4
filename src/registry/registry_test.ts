import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as clocks from "../clock/mod.ts";
import type * as registeredServers from "./registered_server.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as serverRegistries from "./server_registry.ts";

const HEARTBEAT_MS = 1_000;

const SERVER = serverFixtures.createServer("i-1", {
  port: 9_000,
  failureDomain: "north",
  slots: 4,
  models: [{ name: "m", version: 1 }],
});

function report(
  changes: Partial<registeredServers.RegisteredServer>,
): registeredServers.RegisteredServer {
  return { ...SERVER, ...changes };
}

describe("registry", () => {
  let clock = new clocks.FakeClock();
  let servers = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);

  beforeEach(() => {
    clock = new clocks.FakeClock();
    servers = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);
  });

  it("comes to the same whatever order reports arrive in, and how often", () => {
    const reports = [
      report({ sequence: 1 }),
      report({ sequence: 2, models: [{ name: "m", version: 2 }] }),
      report({ sequence: 3, phase: "draining" }),
      report({ sequence: 4, phase: "draining" }),
    ];
    const orders = fastCheck.shuffledSubarray(
      [...reports, ...reports],
      { minLength: 8, maxLength: 8 },
    );
    fastCheck.assert(
      fastCheck.property(orders, (order) => {
        const merged = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);
        for (const item of order) merged.merge(item);
        chai.expect(merged.get("i-1")).to.deep.equal(reports[3]);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it("never lets a late report bring a leaving server back", () => {
    servers.merge(report({ sequence: 5, phase: "draining" }));
    servers.merge(report({ sequence: 4 }));
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
    servers.markGone("i-1");
    servers.merge(report({ sequence: 6 }));
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
  });

  it("remembers that a server left before anything else was heard of it", () => {
    servers.markGone("i-1");
    servers.merge(report({ sequence: 9 }));
    chai.expect(servers.get("i-1")?.phase).to.equal("gone");
  });

  it("passes over a silent server, unless there is no other", () => {
    servers.merge(report({}));
    clock.extendBy(3 * HEARTBEAT_MS);
    servers.merge(report({ id: "i-2" }));
    chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep.equal([
      "i-2",
    ]);
    clock.extendBy(3 * HEARTBEAT_MS);
    chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep.equal([
      "i-1",
      "i-2",
    ]);
    clock.extendBy(30_000);
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
  });
});
