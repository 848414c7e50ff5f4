import * as net from "node:net";
import * as chai from "chai";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as heldBytes from "../held_bytes/mod.ts";
import * as httpListeners from "./http_listener.ts";
import * as readBodies from "./read_body.ts";
import * as responses from "./respond.ts";

const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.52.2`;
const PORT = 18_462;
const MAX_BODY_BYTES = 1_000_000;
const PIECE = Buffer.alloc(50_000, 97);
const PIECE_INTERVAL_MS = 1;

/** What came back on a connection until it was closed. */
interface Received {
  readonly text: string;
  /** Whether the other side closed it in order. */
  readonly hasEnded: boolean;
}

/** Sends a head, then pieces of a body without end until the connection closes. */
function sendWithoutEnd(head: string): Promise<Received> {
  return new Promise((resolve) => {
    const socket = net.connect({
      host: ADDRESS,
      port: PORT,
      allowHalfOpen: true,
    });
    let text = "";
    let hasEnded = false;
    socket.setEncoding("latin1");
    socket.on("data", (data: string) => {
      text += data;
    });
    socket.on("end", () => {
      hasEnded = true;
    });
    // The other side stops reading at some time.
    socket.on("error", () => {});
    socket.write(head);
    const timer = setInterval(() => socket.write(PIECE), PIECE_INTERVAL_MS);
    socket.on("close", () => {
      clearInterval(timer);
      resolve({ text, hasEnded });
    });
  });
}

// Guards against bodies that are received for as long as their client likes after
// their request was answered, and against answers that are lost as it is cut off.
describe("a request answered before its body is whole", () => {
  const held = new heldBytes.HeldBytes();
  let outcomes: string[] = [];
  let listener: httpListeners.HttpListener;

  beforeEach(async () => {
    outcomes = [];
    listener = new httpListeners.HttpListener(
      async (request, response) => {
        if (request.url === "/refused") {
          return responses.respondJson(response, 503, {});
        }
        const limits = { maxBodyBytes: MAX_BODY_BYTES, receiveTimeoutMs: 200 };
        const body = await readBodies.readBody(
          { request, response },
          limits,
          held,
        );
        outcomes.push(body.kind === "ok" ? "ok" : body.failure.code);
        if (body.kind === "ok") response.end("done");
        else responses.respondFailure(response, body.failure);
      },
      { headersTimeoutMs: 5_000, requestTimeoutMs: 0 },
    );
    await listener.listen(ADDRESS, PORT);
  });

  afterEach(() => listener.close(true));

  it("is answered in full, and its connection closed, when announced too large", async () => {
    const { text, hasEnded } = await sendWithoutEnd(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000\r\n\r\n",
    );
    chai.expect(outcomes).to.deep.equal(["bodyTooLarge"]);
    chai.expect(text).to.match(/^HTTP\/1\.1 413 /);
    chai.expect(text).to.match(/connection: close/i);
    chai.expect(hasEnded).to.equal(true);
  });

  it("is cut off when it goes on in chunks past the limit", async () => {
    const socketText = await new Promise<string>((resolve) => {
      const socket = net.connect(PORT, ADDRESS);
      let text = "";
      socket.setEncoding("latin1").on("data", (data: string) => {
        text += data;
      });
      socket.on("error", () => {});
      socket.on("close", () => resolve(text));
      socket.write(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
      );
      const chunk = Buffer.concat([
        Buffer.from(`${PIECE.length.toString(16)}\r\n`),
        PIECE,
        Buffer.from("\r\n"),
      ]);
      const timer = setInterval(() => socket.write(chunk), PIECE_INTERVAL_MS);
      socket.on("close", () => clearInterval(timer));
    });
    chai.expect(outcomes).to.deep.equal(["bodyTooLarge"]);
    chai.expect(socketText).to.match(/^HTTP\/1\.1 413 /);
    chai.expect(held.getTotal()).to.equal(0);
  });

  it("holds nothing after its time, and its connection is closed", async () => {
    const socket = net.connect(PORT, ADDRESS);
    socket.on("error", () => {});
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nabc",
    );
    let text = "";
    socket.setEncoding("latin1").on("data", (data: string) => {
      text += data;
    });
    await new Promise((resolve) => socket.once("close", resolve));
    chai.expect(text).to.match(/^HTTP\/1\.1 408 /);
    chai.expect(outcomes).to.deep.equal(["senderTooSlow"]);
    chai.expect(held.getTotal()).to.equal(0);
    chai.expect(listener.getInFlightCount()).to.equal(0);
  });

  it("keeps its connection when little of the body is left", async () => {
    const socket = net.connect(PORT, ADDRESS);
    let text = "";
    socket.setEncoding("latin1").on("data", (data: string) => {
      text += data;
    });
    socket.write(
      "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc",
    );
    while (!text.includes("503")) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    socket.write("de");
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
    while (!text.includes("done")) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    socket.destroy();
    chai.expect(outcomes).to.deep.equal(["ok"]);
  });

  // Guards against listeners that pile up on a connection that is kept.
  it("leaves nothing on its connection, however often that happens", async () => {
    const warnings: string[] = [];
    function onWarning({ name }: Error): void {
      warnings.push(name);
    }
    process.on("warning", onWarning);
    const socket = net.connect(PORT, ADDRESS);
    let text = "";
    socket.setEncoding("latin1").on("data", (data: string) => {
      text += data;
    });
    for (let count = 1; count <= 30; count += 1) {
      socket.write(
        "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
      );
      while ((text.match(/503/g)?.length ?? 0) < count) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
    socket.destroy();
    process.off("warning", onWarning);
    chai.expect(warnings).to.deep.equal([]);
  });
});
