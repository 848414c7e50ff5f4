import type * as http from "node:http";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
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

  it("gives a whole answer unchanged", async () => {
    servers.handlers = [fixtures.answer(200, { extra: "kept" })];
    const outcome = await servers.send();
    if (outcome.kind !== "answered") throw new Error(outcome.kind);
    chai.expect(outcome.answer.body.toString()).to.equal("body");
    chai.expect(outcome.answer.headers["extra"]).to.equal("kept");
    chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
  });

  it("tells whether a server gave the length of its answer", async () => {
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

  const broken: Readonly<Record<string, fixtures.RequestHandler>> = {
    "an answer to another request": fixtures.answer(200, { id: "other" }),
    "an answer without receipt": (_request, response) => {
      response.writeHead(200, { id: "job" });
      response.end("body");
    },
    "half an answer": answerTruncated,
    "bytes that are no answer": (request) => {
      request.socket.end("garbage\r\n\r\n");
    },
    "a closed connection": (request) => request.socket.destroy(),
  };
  for (const [name, handler] of Object.entries(broken)) {
    it(`asks another server after ${name}, if it may run twice`, async () => {
      servers.handlers = [handler, fixtures.answer(200)];
      const outcome = await servers.send();
      chai.expect(outcome.kind).to.equal("answered");
      chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
    });

    it(`never runs a request twice that may not, after ${name}`, async () => {
      servers.handlers = [handler, fixtures.answer(200)];
      const outcome = await servers.send({ isRepeatable: false });
      chai.expect(outcome.kind).to.equal("failed");
      chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
    });
  }

  it("takes a refusal elsewhere, also of a request that may run only once", async () => {
    servers.handlers = [REFUSE, REFUSE, fixtures.answer(200)];
    const outcome = await servers.send({ isRepeatable: false, maxAttempts: 1 });
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1", "s2"]);
  });

  it("says that nothing ran once every server refused, asking each once", async () => {
    servers.handlers = [REFUSE, REFUSE, REFUSE];
    chai.expect((await servers.send()).kind).to.equal("notRun");
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1", "s2"]);
  });

  it("does not say that nothing ran where one server may have run it", async () => {
    servers.handlers = [answerTruncated, REFUSE, REFUSE];
    chai.expect((await servers.send()).kind).to.equal("failed");
  });

  it("goes to no more servers than it may", async () => {
    servers.handlers = [answerTruncated, answerTruncated, fixtures.answer(200)];
    chai.expect((await servers.send({ maxAttempts: 2 })).kind).to.equal(
      "failed",
    );
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("gives a server's own error when no other one does better", async () => {
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

  it("asks a second server beside a silent one and cancels the first", async () => {
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

  it("asks no second server beside one, when it may run only once", async () => {
    servers.handlers = [(request, response) => {
      setTimeout(() => fixtures.answer(200)(request, response), 50);
    }, fixtures.answer(200)];
    await servers.send({ hedgeMs: 1, isRepeatable: false });
    chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
  });

  it("cancels the work once the caller has left", async () => {
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

  describe("what it learns of servers", () => {
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

    it("expects more of a server that answers fast than of one that fails fast", () => {
      for (let round = 0; round < 4; round += 1) {
        for (const [id, tookMs] of [["sound", 60], ["failing", 5]] as const) {
          loads.recordStart(id);
          loads.recordEnd(id, tookMs);
          loads.recordOutcome(id, id === "sound");
        }
      }
      chai.expect(estimate("failing")).to.be.greaterThan(estimate("sound"));
    });

    it("tries a server that failed again after some seconds", () => {
      loads.recordOutcome("failing", false);
      const before = estimate("failing");
      fakeClock.extendBy(20_000);
      chai.expect(estimate("failing")).to.be.lessThan(before - 70);
    });

    it("learns from a request given up that its server is slow, not that it is fast", () => {
      const first = estimate("a");
      loads.recordStart("a");
      loads.recordUnanswered("a", 10);
      chai.expect(estimate("a")).to.equal(first);
      loads.recordStart("a");
      loads.recordUnanswered("a", 800);
      chai.expect(estimate("a")).to.be.greaterThan(first + 100);
    });
  });

  it("goes to the sound server after the first one answered errors", async () => {
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

  it("refuses at once, and says why, where its turn could only come too late", async () => {
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

  it("waits for a place where all servers refuse, and is answered in its turn", async () => {
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

  it("ends at its deadline and says whether it was sent", async () => {
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
