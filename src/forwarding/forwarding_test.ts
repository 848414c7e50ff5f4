import type * as http from "node:http";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as fixtures from "./server_fixture_test.ts";
import * as serverLoads from "./server_loads.ts";

function answerTruncated(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.writeHead(200, { id: "job", receipt: "r", "content-length": "99" });
  response.write("half");
  setImmediate(() => response.destroy());
}

const REFUSE = fixtures.answer(503, { "not-run": "1" });

describe("forwarding", () => {
  const servers = new fixtures.ScriptedServers();
  const { clock } = servers;

  beforeEach(() => servers.start());

  afterEach(() => servers.stop());

  it("returns a complete answer unchanged", async () => {
    servers.handlers = [fixtures.answer(200, { extra: "kept" })];
    const outcome = await servers.send();
    if (outcome.kind !== "answered") throw new Error(outcome.kind);
    chai.expect(outcome.answer.body.toString()).to.equal("body");
    chai.expect(outcome.answer.headers["extra"]).to.equal("kept");
    chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
  });

  it("reports whether an answer body is delimited", async () => {
    servers.handlers = [(request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { id: "job", receipt: "r", connection: "close" });
      response.end("body");
      request.resume();
    }];
    const unframed = await servers.send();
    if (unframed.kind !== "answered") throw new Error(unframed.kind);
    chai.expect(unframed.answer.isFramed).to.equal(false);
    servers.handlers = [fixtures.answer(200)];
    const framed = await servers.send();
    if (framed.kind !== "answered") throw new Error(framed.kind);
    chai.expect(framed.answer.isFramed).to.equal(true);
  });

  // Guards against a surplus copy of an answer that is taken for the answer to a
  // later attempt with the same id, as scoring calls make them.
  it("does not take a surplus answer for that of its next attempt", async () => {
    const server = new rawServers.RawServer();
    await server.start();
    const headers = { id: "job", receipt: "r" };
    const statuses = [500, 200];
    const last = new Map<number, string>();
    server.handle = ({ connection, socket }) => {
      const status = statuses.shift() ?? 0;
      const answer = rawServers.formatRawAnswer(status, headers);
      socket.write((last.get(connection) ?? "") + answer);
      last.set(connection, answer);
    };
    servers.registry.merge(serverFixtures.createServer("raw", {
      service: "raw",
      port: server.getPort(),
    }));
    const answered: number[] = [];
    for (let turn = 0; turn < 2; turn += 1) {
      const outcome = await servers.send({
        service: "raw",
        retriesErrors: false,
      });
      if (outcome.kind !== "answered") throw new Error(outcome.kind);
      answered.push(outcome.answer.status);
    }
    server.stop();
    chai.expect(answered).to.deep.equal([500, 200]);
  });

  const broken: Readonly<Record<string, fixtures.RequestHandler>> = {
    "a part of an answer without a length, then a reset": (request) => {
      const head = "HTTP/1.1 200 OK\r\nid: job\r\nreceipt: r\r\n\r\n";
      request.socket.write(`${head}part`);
      request.socket.resetAndDestroy();
    },
    "an answer with the status 000": (request) => {
      const head = "HTTP/1.1 000 X\r\nid: job\r\nreceipt: r\r\n";
      request.socket.write(`${head}content-length: 5\r\n\r\nwhole`);
    },
    "an answer to another request": fixtures.answer(200, { id: "other" }),
    "an answer without a receipt": (_request, response) => {
      response.writeHead(200, { id: "job" });
      response.end("body");
    },
    "a truncated answer": answerTruncated,
    "a malformed answer": (request) => {
      request.socket.end("garbage\r\n\r\n");
    },
    "a closed connection": (request) => request.socket.destroy(),
  };
  for (const [name, handler] of Object.entries(broken)) {
    it(`retries an idempotent request after ${name}`, async () => {
      servers.handlers = [handler, fixtures.answer(200)];
      const outcome = await servers.send();
      chai.expect(outcome.kind).to.equal("answered");
      chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
    });

    it(`does not retry a request that may run only once after ${name}`, async () => {
      servers.handlers = [handler, fixtures.answer(200)];
      const outcome = await servers.send({ isRepeatable: false });
      chai.expect(outcome.kind).to.equal("failed");
      chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
    });
  }

  it("retries a refused request elsewhere even if it may run only once", async () => {
    servers.handlers = [REFUSE, REFUSE, fixtures.answer(200)];
    const outcome = await servers.send({
      isRepeatable: false,
      maxAttempts: 1,
    });
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1", "s2"]);
  });

  it("reports that nothing ran after every server refused once", async () => {
    servers.handlers = [REFUSE, REFUSE, REFUSE];
    chai.expect((await servers.send()).kind).to.equal("notRun");
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1", "s2"]);
  });

  it("reports a failure if one server may have run the request", async () => {
    servers.handlers = [answerTruncated, REFUSE, REFUSE];
    chai.expect((await servers.send()).kind).to.equal("failed");
  });

  it("sends no more than the maximum number of attempts", async () => {
    servers.handlers = [
      answerTruncated,
      answerTruncated,
      fixtures.answer(200),
    ];
    chai.expect((await servers.send({ maxAttempts: 2 })).kind).to.equal(
      "failed",
    );
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("returns a server's 5xx answer if no other server succeeds", async () => {
    servers.handlers = [
      fixtures.answer(500),
      fixtures.answer(500),
      fixtures.answer(500),
    ];
    const outcome = await servers.send({ maxAttempts: 2 });
    if (outcome.kind !== "answered") throw new Error(outcome.kind);
    chai.expect(outcome.answer.status).to.equal(500);
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("hedges a request to a silent server and cancels the first attempt", async () => {
    const closed = new Promise((resolve) => {
      servers.handlers = [
        (request) => request.socket.once("close", resolve),
        fixtures.answer(200),
      ];
    });
    chai.expect((await servers.send({ hedgeMs: 1 })).kind).to.equal(
      "answered",
    );
    await closed;
  });

  it("does not hedge a request that may run only once", async () => {
    servers.handlers = [(request, response) => {
      setTimeout(() => fixtures.answer(200)(request, response), 50);
    }, fixtures.answer(200)];
    await servers.send({ hedgeMs: 1, isRepeatable: false });
    chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
  });

  it("cancels the attempt when the caller disconnects", async () => {
    const cancellation = new csp.Cancellation();
    const closed = new Promise((resolve) => {
      servers.handlers = [(request) => {
        request.socket.once("close", resolve);
        cancellation.cancel();
      }];
    });
    chai.expect((await servers.send({ cancellation })).kind).to.equal(
      "abandoned",
    );
    await closed;
  });

  describe("latency estimates", () => {
    let fakeClock = new clocks.FakeClock();
    let loads = new serverLoads.ServerLoads(fakeClock);

    beforeEach(() => {
      fakeClock = new clocks.FakeClock();
      loads = new serverLoads.ServerLoads(fakeClock);
    });

    function estimate(id: string): number {
      return loads.estimateLatencyMs(
        serverFixtures.createServer(id, { service: "app", slots: 4 }),
      );
    }

    it("are higher for a server that fails fast than for one that answers", () => {
      for (let round = 0; round < 4; round += 1) {
        for (const [id, tookMs] of [["sound", 60], ["failing", 5]] as const) {
          loads.recordStart(id);
          loads.recordEnd(id, tookMs);
          loads.recordOutcome(id, id === "sound");
        }
      }
      chai.expect(estimate("failing")).to.be.greaterThan(estimate("sound"));
    });

    it("recover some seconds after a failure", () => {
      loads.recordOutcome("failing", false);
      const before = estimate("failing");
      fakeClock.advance(20_000);
      chai.expect(estimate("failing")).to.be.lessThan(before - 70);
    });

    it("rise after a slow unanswered request but do not fall after a fast one", () => {
      const first = estimate("a");
      loads.recordStart("a");
      loads.recordUnanswered("a", 10);
      chai.expect(estimate("a")).to.equal(first);
      loads.recordStart("a");
      loads.recordUnanswered("a", 800);
      chai.expect(estimate("a")).to.be.greaterThan(first + 100);
    });
  });

  it("prefers a healthy server after another one answered with errors", async () => {
    const loads = new serverLoads.ServerLoads(clock);
    servers.handlers = [
      fixtures.answer(500),
      fixtures.answer(200),
      fixtures.answer(200),
    ];
    for (let round = 0; round < 6; round += 1) await servers.send({}, loads);
    chai.expect(servers.receivedBy[0]).to.equal("s0");
    chai.expect(servers.receivedBy.filter((id) => id === "s0").length).to.be
      .lessThan(6);
  });

  it("refuses at once, with a reason, if its turn would come too late", async () => {
    const loads = new serverLoads.ServerLoads(clock);
    for (const id of ["s0", "s1", "s2"]) loads.markFull(id);
    const outcome = await servers.send(
      { targetAtMs: clock.getMonotonicMs() },
      loads,
      true,
    );
    if (outcome.kind !== "notRun") throw new Error(outcome.kind);
    chai.expect(outcome.reason).to.contain("full");
    chai.expect(outcome.returnMs).to.be.greaterThan(0);
    chai.expect(servers.receivedBy).to.deep.equal([]);
  });

  it("queues a request that all servers refuse and sends it in its turn", async () => {
    let refusals = 0;
    function refuseAtFirst(
      request: http.IncomingMessage,
      response: http.ServerResponse,
    ): void {
      refusals += 1;
      (refusals <= 6 ? REFUSE : fixtures.answer(200))(request, response);
    }
    servers.handlers = [refuseAtFirst, refuseAtFirst, refuseAtFirst];
    const outcome = await servers.send(
      {},
      new serverLoads.ServerLoads(clock),
      true,
    );
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(refusals).to.equal(7);
  });

  it("expires at its deadline and reports whether it was sent", async () => {
    servers.handlers = [() => {}];
    const nowMs = clock.getMonotonicMs();
    chai.expect(await servers.send({ deadlineAtMs: nowMs + 50 })).to.deep
      .equal({
        kind: "expired",
        wasSent: true,
      });
    const unknown = await servers.send({ service: "none" });
    chai.expect(unknown.kind).to.equal("notRun");
  });
});
