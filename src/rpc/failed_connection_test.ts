import * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as framing from "./_framing.ts";
import * as rpcClients from "./rpc_client.ts";
import * as rpcServers from "./rpc_server.ts";

const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.64.1`;
const PORT = 39_464;
const CLOCK = new clocks.SystemClock();
const DELAYS_MS = [0, 1, 5, 30];
const LARGE_TEXT = "x".repeat(2_000_000);

// Guards against a failed connection between two boxes ending a process, as an error
// without a listener does; Mocha reports it as a failure of the test.
describe("rpc whose connections are reset", () => {
  it("ends no calling process", async () => {
    for (const delayMs of DELAYS_MS) {
      const server = net.createServer((socket) => {
        socket.on("error", () => {});
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
      await new Promise<void>((resolve) =>
        server.listen(PORT, ADDRESS, resolve)
      );
      const client = new rpcClients.RpcClient({ address: ADDRESS, port: PORT });
      client.notify("note", { text: LARGE_TEXT });
      const outcome = await client.call("echo", { text: LARGE_TEXT }, 5_000)
        .catch((error: Error) => error.name);
      chai.expect(outcome).to.be.a("string");
      client.close();
      await new Promise((resolve) => server.close(resolve));
    }
  });

  it("ends no serving process", async () => {
    const server = new rpcServers.RpcServer();
    server.add("echo", async (params: { text: string }) => {
      await clocks.sleep(CLOCK, 1);
      return params;
    });
    await server.listen(ADDRESS, PORT);
    for (const delayMs of DELAYS_MS) {
      const socket = net.connect(PORT, ADDRESS);
      socket.on("error", () => {});
      for (const id of [1, 2, 3]) {
        const params = { text: LARGE_TEXT };
        const call = { jsonrpc: "2.0", id, method: "echo", params };
        framing.writeMessage(socket, call);
      }
      await clocks.sleep(CLOCK, delayMs);
      socket.resetAndDestroy();
    }
    const client = new rpcClients.RpcClient({ address: ADDRESS, port: PORT });
    const answer = await client.call("echo", { text: "a" }, 5_000);
    chai.expect(answer).to.deep.equal({ text: "a" });
    client.close();
    server.close();
  });
});
