import type * as net from "node:net";
import * as chai from "chai";
import * as httpClient from "../http_client/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as fixtures from "./server_fixture_test.ts";
import * as serverLoads from "./server_loads.ts";

describe("forwarding to a server that restarts under the same id", () => {
  // Guards against requests that hang until their deadline on half-open
  // connections to a former process of the server.
  const servers = new fixtures.ScriptedServers();
  const { clock } = servers;

  beforeEach(() => servers.start());

  afterEach(() => servers.stop());

  const FIRST_START = { born: 1_000 };

  beforeEach(() => {
    const [first] = servers.registry.listReady("app");
    servers.registry.merge({ ...first!, ...FIRST_START });
  });

  /** Leaves the request unanswered and registers a restart of the server. */
  function restart(): void {
    const first = servers.registry.get("s0");
    servers.registry.merge({
      ...first!,
      born: 2_000,
      sequence: 0,
      coldMs: 400,
    });
  }

  it("retries an idempotent request elsewhere at once", async () => {
    servers.handlers = [restart, fixtures.answer(200)];
    const outcome = await servers.send();
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("fails a request that may run only once at once, as it may have run", async () => {
    servers.handlers = [restart, fixtures.answer(200)];
    const outcome = await servers.send({ isRepeatable: false });
    if (outcome.kind !== "failed") throw new Error(outcome.kind);
    chai.expect(outcome.reason).to.equal("the server started again");
    chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
  });

  it("does not retry a server at whose address another one answered", async () => {
    servers.handlers = [fixtures.answer(421), fixtures.answer(200)];
    for (let round = 0; round < 3; round += 1) await servers.send();
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1", "s1", "s1"]);
  });

  it("accepts an answer that was complete before the restart was known", async () => {
    servers.handlers = [fixtures.answer(200)];
    const outcome = await servers.send();
    restart();
    chai.expect(outcome.kind).to.equal("answered");
  });

  it("discards an answer that was incomplete when the restart became known", async () => {
    servers.handlers = [
      (_request, response) => {
        response.writeHead(200, {
          id: "job",
          receipt: "r",
          "content-length": "8",
        });
        response.write("half");
        setImmediate(restart);
        setTimeout(() => response.end("rest"), 50);
      },
      fixtures.answer(200),
    ];
    const outcome = await servers.send();
    if (outcome.kind !== "answered") throw new Error(outcome.kind);
    chai.expect(outcome.answer.body.toString()).to.equal("body");
  });

  it("frees the slots of the former process once and occupies none of the new one", async () => {
    const loads = new serverLoads.ServerLoads(clock);
    const former = servers.registry.get("s0")!;
    servers.handlers = [restart, fixtures.answer(200)];
    await servers.send({}, loads);
    const later = servers.registry.get("s0")!;
    const singleSlot = { ...later, slots: 1 };
    chai.expect(loads.hasFreeSlot(singleSlot)).to.equal(true);
    loads.recordStart(later.lifetime);
    chai.expect(loads.hasFreeSlot(singleSlot)).to.equal(false);
    chai.expect(loads.hasFreeSlot({ ...former, slots: 1 })).to.equal(true);
    chai.expect(loads.isAvoided(later.lifetime)).to.equal(false);
  });

  it("does not reuse an idle connection to the former process", async () => {
    let connections = 0;
    servers.httpServers[0]?.on("connection", () => connections += 1);
    servers.registry = new registry.ServerRegistry(
      clock,
      60_000,
      ({ address, port }) => httpClient.closeIdleConnections(address, port),
    );
    const { port } = servers.httpServers[0]?.address() as net.AddressInfo;
    servers.registry.merge(
      serverFixtures.createServer("s0", {
        service: "app",
        port,
        ...FIRST_START,
      }),
    );
    servers.handlers = [fixtures.answer(200)];
    await servers.send({ requestId: "a" });
    await servers.send({ requestId: "b" });
    chai.expect(connections).to.equal(1);
    restart();
    await servers.send({ requestId: "c" });
    chai.expect(connections).to.equal(2);
  });
});
