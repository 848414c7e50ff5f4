import * as http from "node:http";
import * as net from "node:net";
import * as chai from "chai";
import type * as dialects from "../dialect/mod.ts";
import * as formatOutcomes from "./_format_outcome.ts";
import * as rawListeners from "./_raw_listener.ts";

/** More than the buffers of a connection hold. */
const LARGE_BODY_BYTES = 32_000_000;

/** Sends an answer over a real connection and returns the bytes received. */
async function readAnswer(
  answer: dialects.RawAnswer,
  method = "GET",
): Promise<string> {
  const server = http.createServer((_request, response) =>
    rawListeners.writeAnswer(response, answer)
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.write(`${method} / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`);
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk);
  server.close();
  return Buffer.concat(chunks).toString();
}

/** Sends an answer, closes the connection amid it, and tells what its caller got. */
async function readUntilCut(
  answer: dialects.RawAnswer,
): Promise<"whole" | "cut"> {
  const server = http.createServer((_request, response) => {
    rawListeners.writeAnswer(response, answer);
    setImmediate(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  return await new Promise((resolve) => {
    const request = http.get({ port, agent: false }, (response) => {
      response.resume();
      response.on("error", () => {});
      response.on("close", () => {
        server.close();
        resolve(response.complete ? "whole" : "cut");
      });
    });
    request.on("error", () => {});
  });
}

const NO_DIALECT = {} as dialects.Dialect;

/** Formats the answer of a server whose answer ended with its connection. */
function formatUnframed(status: number, body: Buffer): dialects.RawAnswer {
  const answer = formatOutcomes.formatOutcome({
    kind: "answered",
    answer: {
      server: "s",
      status,
      headers: { receipt: "r", connection: "close" },
      head: {
        requestId: "a",
        receipt: "r",
        isNotRun: false,
        load: undefined,
        weightVersion: undefined,
      },
      body,
      isFramed: false,
    },
  }, NO_DIALECT);
  if (answer === undefined) throw new Error("no answer");
  return answer;
}

describe("writeAnswer", () => {
  const answer = { status: 200, headers: { receipt: "r" }, body: "half" };

  it("sends the content length of a framed answer", async () => {
    chai.expect(await readAnswer(answer)).to.match(
      /content-length: 4\r\n[^]*\r\n\r\nhalf$/i,
    );
  });

  it("sends the content length of an answer whose server sent none", async () => {
    chai.expect(await readAnswer(formatUnframed(200, Buffer.from("half")))).to
      .match(
        /content-length: 4\r\n[^]*\r\n\r\nhalf$/i,
      );
  });

  // Guards against an answer that breaks off on its way, as when its box ends or closes
  // the connection of a caller that does not read, looking whole to its caller.
  it("lets a caller tell that an answer broke off", async () => {
    const answer = formatUnframed(200, Buffer.alloc(LARGE_BODY_BYTES));
    chai.expect(await readUntilCut(answer)).to.equal("cut");
  });

  for (const status of [204, 304]) {
    it(`sends no length with status ${status}, which has no body`, async () => {
      const text = await readAnswer(formatUnframed(status, Buffer.alloc(0)));
      chai.expect(text).not.to.match(/content-length|transfer-encoding/i);
      chai.expect(text).to.match(/receipt: r\r\n[^]*\r\n\r\n$/i);
    });
  }

  it("sends no length of its own with an answer to HEAD", async () => {
    const text = await readAnswer({ ...answer, body: "" }, "HEAD");
    chai.expect(text).not.to.match(/content-length|transfer-encoding/i);
  });
});
