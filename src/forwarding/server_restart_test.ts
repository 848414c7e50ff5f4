import type * as net from "node:net";
import * as chai from "chai";
import * as httpClient from "../http_client/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as fixtures from "./server_fixture_test.ts";
import * as serverLoads from "./server_loads.ts";

describe("forwarding when a server starts again under its id", () => {
  // A server crashed behind a cut with two requests under way, and started
  // again 400 ms later. Both were held until their deadline of 30 s, as the
  // old connections stayed silent.
  const servers = new fixtures.ScriptedServers();
  const { clock } = servers;

  beforeEach(() => servers.start());

  afterEach(() => servers.stop());

  const FIRST_START = { born: 1_000 };

  beforeEach(() => {
    const [first] = servers.registry.listReady("app");
    servers.registry.merge({ ...first!, ...FIRST_START });
  });

  /** The first server holds the request in silence and starts again. */
  function restart(): void {
    const first = servers.registry.get("s0");
    servers.registry.merge({
      ...first!,
      born: 2_000,
      sequence: 0,
      coldMs: 400,
    });
  }

  it("has a request that may run twice answered elsewhere at once", async () => {
    servers.handlers = [restart, fixtures.answer(200)];
    const outcome = await servers.send();
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("ends one that may not at once, as it may have run", async () => {
    servers.handlers = [restart, fixtures.answer(200)];
    const outcome = await servers.send({ isRepeatable: false });
    if (outcome.kind !== "failed") throw new Error(outcome.kind);
    chai.expect(outcome.reason).to.equal("the server started again");
    chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
  });

  it("asks no server again at whose address another one answered", async () => {
    servers.handlers = [fixtures.answer(421), fixtures.answer(200)];
    for (let round = 0; round < 3; round += 1) await servers.send();
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1", "s1", "s1"]);
  });

  it("takes an answer that was whole before the later start was known", async () => {
    servers.handlers = [fixtures.answer(200)];
    const outcome = await servers.send();
    restart();
    chai.expect(outcome.kind).to.equal("answered");
  });

  it("refuses the rest of an answer that was not whole by then", async () => {
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

  it("frees the places of the former start once, and fills none of the later", async () => {
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

  it("sends nothing over a connection that was kept to the former start", async () => {
    let connections = 0;
    servers.httpServers[0]?.on("connection", () => connections += 1);
    servers.registry = new registry.ServerRegistry(
      clock,
      60_000,
      ({ address, port }) => httpClient.closeIdle(address, port),
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
    await servers.send();
    await servers.send();
    chai.expect(connections).to.equal(1);
    restart();
    await servers.send();
    chai.expect(connections).to.equal(2);
  });
});
