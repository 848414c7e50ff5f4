import * as http from "node:http";
import * as net from "node:net";
import * as chai from "chai";
import type * as dialects from "../dialect/mod.ts";
import * as rawListeners from "./_raw_listener.ts";

/** Has an answer written, and gives all bytes of it. */
async function readAnswer(answer: dialects.RawAnswer): Promise<string> {
  const server = http.createServer((_request, response) =>
    rawListeners.writeAnswer(response, answer)
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk);
  server.close();
  return Buffer.concat(chunks).toString();
}

describe("an answer to a caller", () => {
  const answer = { status: 200, headers: { receipt: "r" }, body: "half" };

  it("tells its length where that is known", async () => {
    chai.expect(await readAnswer(answer)).to.match(
      /content-length: 4\r\n[^]*\r\n\r\nhalf$/i,
    );
  });

  it("tells no length where its server told none", async () => {
    // A server that gives no length crashed midway; the end of its connection
    // ended the answer, which was passed on with the length of what had come, so
    // that the caller took the half for the whole.
    const text = await readAnswer({ ...answer, isCloseDelimited: true });
    chai.expect(text).to.not.match(/content-length|transfer-encoding/i);
    chai.expect(text).to.match(/connection: close\r\n[^]*\r\n\r\nhalf$/i);
  });
});
