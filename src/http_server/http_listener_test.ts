import * as net from "node:net";
import * as chai from "chai";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as httpListeners from "./http_listener.ts";

const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.52.1`;
const PORT = 18_461;

/** Sends text on a new connection; resolves to all that comes back. */
function sendText(text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(PORT, ADDRESS);
    let received = "";
    socket.setEncoding("latin1");
    socket.on("data", (data: string) => {
      received += data;
    });
    socket.on("error", reject);
    socket.on("close", () => resolve(received));
    socket.write(text);
  });
}

function formatRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`;
}

describe("HTTP listener", () => {
  let handled: string[] = [];
  let listener: httpListeners.HttpListener;

  beforeEach(async () => {
    handled = [];
    listener = new httpListeners.HttpListener(
      async (request, response) => {
        handled.push(request.url ?? "");
        await new Promise((resolve) => setTimeout(resolve, 20));
        response.end("done");
      },
      { headersTimeoutMs: 5_000, requestTimeoutMs: 5_000 },
    );
    await listener.listen(ADDRESS, PORT);
  });

  afterEach(() => listener.close(true));

  it("answers pipelined requests in their order", async () => {
    const text = await sendText(
      formatRequest("/a") +
        "GET /b HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n",
    );
    chai.expect(handled).to.deep.equal(["/a", "/b"]);
    chai.expect(text.match(/200 OK/g)?.length).to.equal(2);
  });

  // Guards against a request that runs although its connection closes before it
  // could be answered.
  it("doesn't begin a request behind an answer that closes its connection", async () => {
    listener.startDraining();
    const text = await sendText(formatRequest("/a") + formatRequest("/b"));
    chai.expect(text.match(/200 OK/g)?.length).to.equal(1);
    chai.expect(text).to.match(/connection: close/i);
    chai.expect(handled).to.deep.equal(["/a"]);
    chai.expect(listener.getInFlightCount()).to.equal(0);
  });

  it("lists a request until it is answered", async () => {
    const answered = sendText(
      "GET /a HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n",
    );
    while (handled.length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    chai.expect(listener.listExchanges().map(({ request }) => request.url)).to
      .deep.equal(["/a"]);
    await answered;
    chai.expect(listener.getInFlightCount()).to.equal(0);
  });
});
