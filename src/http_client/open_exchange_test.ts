import * as net from "node:net";
import * as chai from "chai";
import * as sendRequest from "./send_request.ts";

const REQUEST = {
  address: "127.0.0.1",
  port: 9,
  method: "POST",
  path: "/x",
  headers: {},
  timeoutMs: 500,
};

describe("exchange", () => {
  // Guards against invalid options throwing instead of failing the request, which
  // would end the process.
  const invalidOptions: Readonly<Record<string, object>> = {
    "an invalid port": { port: 99_999 },
    "an invalid header": { headers: { id: "i\r\n1" } },
    "an invalid path": { path: "/a b" },
  };
  for (const [name, changes] of Object.entries(invalidOptions)) {
    it(`reports a request with ${name} as not sent`, async () => {
      const outcome = await sendRequest.sendRequest({ ...REQUEST, ...changes });
      chai.expect(outcome.kind).to.equal("notSent");
    });
  }

  // Guards against a surplus answer that is taken for the answer to a later
  // request on the same connection.
  it("closes an idle connection on which an answer arrives", async () => {
    const connections: net.Socket[] = [];
    const server = net.createServer((socket) => {
      connections.push(socket);
      const id = connections.length;
      socket.on("error", () => {});
      socket.on("data", () => socket.write(formatAnswer(`of ${id}`)));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as net.AddressInfo;
    async function ask(): Promise<string> {
      const outcome = await sendRequest.sendRequest({ ...REQUEST, port });
      return outcome.kind === "answered" ? String(outcome.body) : outcome.kind;
    }
    chai.expect(await ask()).to.equal("of 1");
    chai.expect(await ask()).to.equal("of 1");
    const [first] = connections;
    const closed = new Promise((resolve) => first?.once("close", resolve));
    first?.write(formatAnswer("surplus"));
    await closed;
    chai.expect(await ask()).to.equal("of 2");
    for (const socket of connections) socket.destroy();
    server.close();
  });
});

function formatAnswer(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}
