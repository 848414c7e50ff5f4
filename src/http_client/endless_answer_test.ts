import * as chai from "chai";
import * as endlessAnswers from "../fixtures/endless_answer.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as heldBytes from "../held_bytes/mod.ts";
import type * as httpRequests from "./http_request.ts";
import * as sendRequest from "./send_request.ts";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";
const PIECE = "x".repeat(10_000);
/** Far more than is read, and little enough to be sent in any case. */
const MAX_SENT_BYTES = 8 * 1024 * 1024;
const MAX_RESPONSE_BYTES = 1024 * 1024;
const UNFINISHED_BYTES = 900 * 1024;
/** Room for two unfinished answers, and not for three. */
const MAX_HELD_BYTES = 2 * MAX_RESPONSE_BYTES;

// Guards against a server in trouble whose bytes without end fill the memory of a
// box or hold its requests until their deadline.
describe("request to a server that sends bytes without end", () => {
  let server = new rawServers.RawServer();

  beforeEach(async () => {
    server = new rawServers.RawServer();
    await server.start();
  });

  afterEach(() => server.stop());

  function ask(
    requestId: string,
    held = new heldBytes.HeldBytes(),
  ): Promise<httpRequests.HttpOutcome> {
    return sendRequest.sendRequest({
      address: "127.0.0.1",
      port: server.getPort(),
      method: "GET",
      path: "/x",
      requestId,
      timeoutMs: 30_000,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    }, held);
  }

  it("closes the connection on interim responses without end", async () => {
    const sent = endlessAnswers.sendWithoutEnd(server, {
      head: "",
      piece: () => INTERIM,
      maxBytes: MAX_SENT_BYTES,
    });
    const outcome = await ask("a");
    chai.expect(outcome).to.deep.equal({
      kind: "broken",
      message: "too many interim responses",
      isClosed: false,
    });
    chai.expect((await sent).isClosedByReader).to.equal(true);
  });

  it("accepts a few interim responses", async () => {
    server.handle = ({ socket }) =>
      socket.write(INTERIM.repeat(3) + rawServers.formatRawAnswer(200, {}));
    chai.expect((await ask("a")).kind).to.equal("answered");
  });

  it("closes the connection on a body without end", async () => {
    const sent = endlessAnswers.sendWithoutEnd(server, {
      head: HEAD,
      piece: () => PIECE,
      maxBytes: MAX_SENT_BYTES,
    });
    const outcome = await ask("a");
    chai.expect(outcome).to.deep.include({
      message: "the answer is too large",
    });
    chai.expect((await sent).isClosedByReader).to.equal(true);
  });

  it("reads nothing of a body that is announced as too large", async () => {
    const length = MAX_RESPONSE_BYTES + 1;
    server.handle = ({ socket }) =>
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
    chai.expect(await ask("a")).to.deep.include({
      message: "the answer is too large",
    });
  });

  it("bounds what all unfinished answers hold together", async () => {
    const body = "x".repeat(UNFINISHED_BYTES);
    server.handle = ({ socket }) => socket.write(HEAD + body);
    const held = new heldBytes.HeldBytes(MAX_HELD_BYTES);
    const asked = ["a", "b", "c", "d"].map((id) => ask(id, held));
    const messages: string[] = [];
    await new Promise<void>((resolve) => {
      for (const asking of asked) {
        void asking.then((outcome) => {
          if (outcome.kind === "broken") messages.push(outcome.message);
          if (messages.length === 2) resolve();
        });
      }
    });
    const expected = "too many bytes of unfinished answers are held";
    chai.expect(messages).to.deep.equal([expected, expected]);
    server.stop();
    await Promise.all(asked);
    chai.expect(held.getTotal()).to.equal(0);
  });
});

describe("HeldBytes", () => {
  it("gives up the response that holds the most", () => {
    const held = new heldBytes.HeldBytes(100);
    const aborted: string[] = [];
    const [small, large] = ["small", "large"].map((name) => ({
      abort: () => void aborted.push(name),
    })) as [heldBytes.ByteHolder, heldBytes.ByteHolder];
    held.add(large, 60);
    held.add(small, 30);
    chai.expect(aborted).to.deep.equal([]);
    held.add(small, 20);
    chai.expect(aborted).to.deep.equal(["large"]);
    chai.expect(held.getTotal()).to.equal(50);
  });
});
