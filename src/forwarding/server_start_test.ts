import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import type * as jobs from "./forward_job.ts";
import * as forwarders from "./forwarder.ts";
import * as fixtures from "./server_fixture_test.ts";
import * as serverLoads from "./server_loads.ts";

describe("forwarding when a server starts again under its id", () => {
  // A server crashed behind a cut with two requests under way, and started
  // again 400 ms later. Both were held until their deadline of 30 s, as the
  // old connections stayed silent.
  const clock = new clocks.SystemClock();
  let scripts: fixtures.Script[] = [];
  let seen: string[] = [];
  let servers: http.Server[] = [];
  let known = new registry.ServerRegistry(clock, 60_000);

  beforeEach(async () => {
    seen = [];
    scripts = [];
    known = new registry.ServerRegistry(clock, 60_000);
    servers = [0, 1, 2].map((index) =>
      http.createServer((request, response) => {
        seen.push(`s${index}`);
        request.resume();
        request.on("end", () => scripts[index]?.(request, response));
      })
    );
    for (const [index, server] of servers.entries()) {
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      known.merge(serverFixtures.createServer(`s${index}`, {
        service: "app",
        port: (server.address() as net.AddressInfo).port,
        slots: 4,
        // The first server is always the first choice, then the second.
        coldMs: index * 100,
      }));
    }
  });

  afterEach(() => {
    for (const server of servers) {
      server.closeAllConnections();
      server.close();
    }
  });

  function send(
    changes: Partial<jobs.ForwardJob> = {},
    loads = new serverLoads.ServerLoads(clock),
    weighsLoad = false,
  ): Promise<jobs.ForwardOutcome> {
    const forwarder = new forwarders.Forwarder({
      clock,
      crashGuard: guardFixtures.createCrashGuard(clock),
      log: new logs.Log("box", "error", () => {}),
      servers: known,
      loads,
      dialect: fixtures.DIALECT,
      failureDomain: "d",
      draw: () => 0,
      weighsLoad,
    });
    return forwarder.send({
      requestId: "job",
      sender: { kind: "unasked" },
      service: "app",
      method: "POST",
      target: "/x",
      headers: {},
      body: Buffer.from("question"),
      priority: 0,
      targetAtMs: clock.getMonotonicMs() + 30_000,
      deadlineAtMs: clock.getMonotonicMs() + 30_000,
      attempts: 3,
      isRepeatable: true,
      retriesErrors: true,
      hedgeMs: 30_000,
      cancellation: new csp.Cancellation(),
      ...changes,
    });
  }

  const BORN = { born: 1_000 };

  beforeEach(() => {
    const [first] = known.listReady("app");
    known.merge({ ...first!, ...BORN });
  });

  /** The first server holds the request in silence and starts again. */
  function startAgain(): void {
    const first = known.get("s0");
    known.merge({ ...first!, born: 2_000, sequence: 0, coldMs: 400 });
  }

  it("has a request that may run twice answered elsewhere at once", async () => {
    scripts = [startAgain, fixtures.answer(200)];
    const outcome = await send();
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(seen).to.deep.equal(["s0", "s1"]);
  });

  it("ends one that may not at once, as it may have run", async () => {
    scripts = [startAgain, fixtures.answer(200)];
    const outcome = await send({ isRepeatable: false });
    if (outcome.kind !== "failed") throw new Error(outcome.kind);
    chai.expect(outcome.reason).to.equal("the server started again");
    chai.expect(seen).to.deep.equal(["s0"]);
  });

  it("asks no server again at whose address another one answered", async () => {
    scripts = [fixtures.answer(421), fixtures.answer(200)];
    for (let turn = 0; turn < 3; turn += 1) await send();
    chai.expect(seen).to.deep.equal(["s0", "s1", "s1", "s1"]);
  });

  it("takes an answer that was whole before the later start was known", async () => {
    scripts = [fixtures.answer(200)];
    const outcome = await send();
    startAgain();
    chai.expect(outcome.kind).to.equal("answered");
  });

  it("refuses the rest of an answer that was not whole by then", async () => {
    scripts = [
      (_request, response) => {
        response.writeHead(200, {
          id: "job",
          receipt: "r",
          "content-length": "8",
        });
        response.write("half");
        setImmediate(startAgain);
        setTimeout(() => response.end("rest"), 50);
      },
      fixtures.answer(200),
    ];
    const outcome = await send();
    if (outcome.kind !== "answered") throw new Error(outcome.kind);
    chai.expect(outcome.answer.body.toString()).to.equal("body");
  });

  it("frees the places of the former start once, and fills none of the later", async () => {
    const loads = new serverLoads.ServerLoads(clock);
    const former = known.get("s0")!;
    scripts = [startAgain, fixtures.answer(200)];
    await send({}, loads);
    const later = known.get("s0")!;
    const one = { ...later, slots: 1 };
    chai.expect(loads.hasPlace(one)).to.equal(true);
    loads.begin(later.lifetime);
    chai.expect(loads.hasPlace(one)).to.equal(false);
    chai.expect(loads.hasPlace({ ...former, slots: 1 })).to.equal(true);
    chai.expect(loads.isAvoided(later.lifetime)).to.equal(false);
  });

  it("sends nothing over a connection that was kept to the former start", async () => {
    let connections = 0;
    servers[0]?.on("connection", () => connections += 1);
    known = new registry.ServerRegistry(
      clock,
      60_000,
      ({ address, port }) => httpClient.closeIdle(address, port),
    );
    const { port } = servers[0]?.address() as net.AddressInfo;
    known.merge(
      serverFixtures.createServer("s0", { service: "app", port, ...BORN }),
    );
    scripts = [fixtures.answer(200)];
    await send();
    await send();
    chai.expect(connections).to.equal(1);
    startAgain();
    await send();
    chai.expect(connections).to.equal(2);
  });
});
