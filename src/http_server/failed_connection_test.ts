import * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as httpListeners from "./http_listener.ts";
import * as readBodies from "./read_body.ts";
import * as responses from "./respond.ts";

const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.63.1`;
const PORT = 18_463;
const CLOCK = new clocks.SystemClock();
const MB = 1_000_000;
const HEAD = "POST /x HTTP/1.1\r\nHost: a.example\r\n";

/** What a caller sends before its connection is reset. */
const BEGINNINGS: Readonly<Record<string, string>> = {
  "before anything is sent": "",
  "inside a head": "POST /x HT",
  "after what is no request": "no request\r\n\r\n",
  "inside a body": `${HEAD}content-length: 10\r\n\r\nabc`,
  "inside a chunk": `${HEAD}transfer-encoding: chunked\r\n\r\n5\r\nab`,
  "while a request is handled": `${HEAD}content-length: 3\r\n\r\nabc`,
  "behind pipelined requests": `${HEAD}content-length: 0\r\n\r\n`.repeat(3),
  "inside a body that is refused": `${HEAD}content-length: ${9 * MB}\r\n\r\n${
    "a".repeat(MB)
  }`,
  "after a request for another protocol":
    `${HEAD}connection: upgrade\r\nupgrade: x\r\n\r\n`,
  "after a request for a tunnel": "CONNECT a.example:1 HTTP/1.1\r\n\r\n",
};
/** Delays before the reset, in ms: at once, and while the answer is written. */
const DELAYS_MS = [0, 1, 5, 30];

/** Sends text, resets the connection after a while, and waits for its end. */
function sendAndReset(text: string, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    const socket = net.connect(PORT, ADDRESS);
    socket.on("error", () => {});
    socket.once("close", () => resolve());
    socket.write(text, () => {
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    });
    if (text === "") socket.once("connect", () => socket.resetAndDestroy());
  });
}

// Guards against a caller's connection that fails ending the process, as an error
// without a listener does; Mocha reports it as a failure of the test.
describe("HTTP listener whose callers reset their connections", () => {
  const listener = new httpListeners.HttpListener(
    async (request, response) => {
      const body = await readBodies.readBody({ request, response }, {
        maxBodyBytes: MB,
        receiveTimeoutMs: 5_000,
      });
      if (body.kind === "failure") {
        return responses.respondFailure(response, body.failure);
      }
      await clocks.sleep(CLOCK, 5);
      responses.respondJson(response, 200, "x".repeat(MB));
    },
    { headersTimeoutMs: 5_000, requestTimeoutMs: 5_000 },
  );

  before(() => listener.listen(ADDRESS, PORT));

  after(() => listener.close(true));

  for (const [moment, text] of Object.entries(BEGINNINGS)) {
    it(`ends no process ${moment}`, async () => {
      for (const delayMs of DELAYS_MS) await sendAndReset(text, delayMs);
      const answer = await fetch(`http://${ADDRESS}:${PORT}/`);
      chai.expect(answer.status).to.equal(200);
      await answer.text();
    });
  }
});
