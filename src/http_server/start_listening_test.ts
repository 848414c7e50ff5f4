import * as net from "node:net";
import * as chai from "chai";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as startListenings from "./start_listening.ts";

const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.66.1`;
const PORT = 18_466;

describe("server that listens", () => {
  const servers: net.Server[] = [];

  afterEach(() => {
    for (const server of servers.splice(0)) server.close();
  });

  async function listen(errors: Error[]): Promise<net.Server> {
    const server = net.createServer((socket) => socket.end("done"));
    servers.push(server);
    await startListenings.startListening(server, {
      address: ADDRESS,
      port: PORT,
      onAcceptError: (error) => errors.push(error),
    });
    return server;
  }

  // Guards against a connection that can't be accepted ending the process: the first
  // error was lost, and the second had no listener.
  it("reports each connection that it can't accept, and listens on", async () => {
    const errors: Error[] = [];
    const server = await listen(errors);
    const failures = [new Error("first"), new Error("second")];
    for (const failure of failures) server.emit("error", failure);
    chai.expect(errors).to.deep.equal(failures);
    const socket = net.connect(PORT, ADDRESS);
    const chunks: Buffer[] = [];
    for await (const chunk of socket) chunks.push(chunk);
    chai.expect(String(Buffer.concat(chunks))).to.equal("done");
  });

  it("rejects if it can't listen", async () => {
    await listen([]);
    const error = await listen([]).catch((reason: Error) => reason);
    chai.expect(error).to.include({ code: "EADDRINUSE" });
  });
});
