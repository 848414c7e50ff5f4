import * as chai from "chai";
import * as fixtures from "./server_fixture_test.ts";

const WHOLE = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const CUTS: Readonly<Record<string, string>> = {
  "inside the id line": "id: 1\ndata: a\n\nid:",
  "after the data line": "id: 1\ndata: a\n\nid: 2\ndata: b\n",
};

/** Creates a handler that answers with a stream and ends it in order. */
function stream(body: string, isFramed: boolean): fixtures.RequestHandler {
  return (request, response) => {
    const headers = { id: String(request.headers["id"]), receipt: "r" };
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    response.writeHead(
      200,
      isFramed ? headers : { ...headers, connection: "close" },
    );
    response.write(body);
    response.end();
  };
}

describe("forwarding of streams that are cut", () => {
  const servers = new fixtures.ScriptedServers();

  beforeEach(() => servers.start());

  afterEach(() => servers.stop());

  for (const isFramed of [true, false]) {
    const framing = isFramed ? "in chunks" : "without a length";
    for (const [place, body] of Object.entries(CUTS)) {
      // Guards against a stream that breaks off inside an event and ends as
      // complete for its caller.
      it(`does not answer with a stream ${framing} cut ${place}`, async () => {
        servers.handlers = [stream(body, isFramed)];
        const outcome = await servers.send({
          isStream: true,
          isRepeatable: false,
        });
        chai.expect(outcome).to.deep.equal({
          kind: "failed",
          reason: "the stream ended inside an event",
        });
        chai.expect(servers.receivedBy).to.deep.equal(["s0"]);
      });

      it(`repeats a stream ${framing} cut ${place} if it may be resumed`, async () => {
        servers.handlers = [stream(body, isFramed), stream(WHOLE, true)];
        const outcome = await servers.send({
          isStream: true,
          isRepeatable: true,
        });
        if (outcome.kind !== "answered") throw new Error(outcome.kind);
        chai.expect(outcome.answer.body.toString()).to.equal(WHOLE);
        chai.expect(servers.receivedBy).to.deep.equal(["s0", "s1"]);
      });
    }
  }

  /** Creates a handler of whole streams without a length, and of reads of the state. */
  function streamThen(
    answerRead: fixtures.RequestHandler,
  ): fixtures.RequestHandler {
    return (request, response) => {
      const isRead = request.url === fixtures.STATE_TARGET;
      const handle = isRead ? answerRead : stream(WHOLE, false);
      handle(request, response);
    };
  }

  // Guards against a crash between two events of a stream without a length, after
  // which the stream ends as complete for its caller.
  it("does not answer with a stream without a length if its server is gone", async () => {
    servers.handlers = [
      streamThen((request) => request.socket.resetAndDestroy()),
    ];
    const outcome = await servers.send({ isStream: true, isRepeatable: false });
    if (outcome.kind !== "failed") throw new Error(outcome.kind);
    chai.expect(outcome.reason).to.contain("was not heard after the end");
  });

  it("answers with a stream without a length if its server is heard again", async () => {
    servers.handlers = [streamThen((_request, response) => response.end())];
    const outcome = await servers.send({ isStream: true, isRepeatable: false });
    if (outcome.kind !== "answered") throw new Error(outcome.kind);
    chai.expect(outcome.answer.body.toString()).to.equal(WHOLE);
    chai.expect(servers.receivedBy).to.deep.equal(["s0", "s0"]);
  });

  it("answers with a whole stream, and with a failure of any form", async () => {
    servers.handlers = [stream(WHOLE, true)];
    const whole = await servers.send({ isStream: true, isRepeatable: false });
    if (whole.kind !== "answered") throw new Error(whole.kind);
    chai.expect(whole.answer.body.toString()).to.equal(WHOLE);
    servers.handlers = [fixtures.answer(404)];
    const refused = await servers.send({ isStream: true, isRepeatable: false });
    if (refused.kind !== "answered") throw new Error(refused.kind);
    chai.expect(refused.answer.status).to.equal(404);
  });
});
