import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import type * as httpServer from "../http_server/mod.ts";
import * as logs from "../log/mod.ts";
import * as crowdRecorders from "./_crowd_recorder.ts";
import * as rawListeners from "./_raw_listener.ts";

const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.65.1`;
const PORT = 18_465;

// Guards against a handler that throws closing the connection of a request without an
// answer, as an answer of a server with the status 000 made it.
describe("listener whose handler throws", () => {
  const log = new logs.Log("box", "error", () => {});
  let handle: httpServer.HttpHandler = () => Promise.resolve();
  const listener = rawListeners.createRawListener(
    (request, response) => handle(request, response),
    {
      name: "caller",
      maxConnections: 10,
      log,
      crowds: new crowdRecorders.CrowdRecorder({
        clock: new clocks.SystemClock(),
        log,
        metrics: {
          countClosedConnection: () => {},
          countRefusedBody: () => {},
        },
      }),
    },
  );

  before(() => listener.listen(ADDRESS, PORT));

  after(() => listener.close(true));

  it("answers that the outcome is not known", async () => {
    handle = async (_request, response) =>
      rawListeners.writeAnswer(response, { status: 0, headers: {}, body: "" });
    const answer = await fetch(`http://${ADDRESS}:${PORT}/`);
    chai.expect(answer.status).to.equal(500);
    chai.expect(await answer.json()).to.deep.include({
      error: {
        code: 5002,
        name: "internal",
        message: "Cannot answer: an internal error",
        outcome: "unknown",
      },
    });
  });

  it("closes the connection if part of the answer was sent", async () => {
    handle = async (_request, response) => {
      response.writeHead(200, { "content-length": "9" });
      response.write("part");
      throw new Error("it failed");
    };
    const answer = await fetch(`http://${ADDRESS}:${PORT}/`).then((response) =>
      response.text()
    ).catch((error: Error) => error.name);
    chai.expect(answer).to.equal("TypeError");
  });
});
