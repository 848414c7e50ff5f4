import * as net from "node:net";
import * as stream from "node:stream";
import * as chai from "chai";
import * as framing from "./_framing.ts";
import * as messageReaders from "./_message_reader.ts";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as rpcClients from "./rpc_client.ts";
import * as rpcServers from "./rpc_server.ts";

const PORT = 39_471;
const [FIRST_ADDRESS, SECOND_ADDRESS, PROXY_ADDRESS] = [
  `${loopbackNetworks.LOOPBACK_NETWORK}.32.1`,
  `${loopbackNetworks.LOOPBACK_NETWORK}.32.2`,
  `${loopbackNetworks.LOOPBACK_NETWORK}.32.3`,
] as const;
/** Polls of 5 ms each in which a notification must arrive. */
const MAX_POLLS = 1_000;

describe("rpc", () => {
  const servers: rpcServers.RpcServer[] = [];
  const clients: rpcClients.RpcClient[] = [];

  afterEach(() => {
    for (const client of clients.splice(0)) client.close();
    for (const server of servers.splice(0)) server.close();
  });

  async function listen(address: string): Promise<string[]> {
    const received: string[] = [];
    const server = new rpcServers.RpcServer();
    servers.push(server);
    server.add("note", (params: { text: string }) => {
      received.push(params.text);
    });
    server.add("echo", (params: { text: string }) => params);
    await server.listen(address, PORT);
    return received;
  }

  function connect(address: string): rpcClients.RpcClient {
    const client = new rpcClients.RpcClient({ address, port: PORT });
    clients.push(client);
    return client;
  }

  it("sends the same notification, short or long, to several boxes", async () => {
    const addresses = [FIRST_ADDRESS, SECOND_ADDRESS];
    const received = await Promise.all(addresses.map(listen));
    for (const text of ["short", "long".repeat(2_000), "x".repeat(600_000)]) {
      const params = { text };
      for (const address of addresses) {
        const client = connect(address);
        client.notify("note", params);
        // Messages on one connection are handled in order.
        await client.call("echo", { text: "done" }, 5_000);
      }
    }
    for (const texts of received) {
      chai.expect(texts.map((text) => text.length)).to.deep.equal([
        5,
        8_000,
        600_000,
      ]);
    }
  });

  it("reports the error of a handler, of which the sender of a notification learns nothing", async () => {
    const reported: string[] = [];
    const server = new rpcServers.RpcServer((method, error) =>
      reported.push(`${method}: ${(error as Error).message}`)
    );
    servers.push(server);
    server.add("merge", () => {
      throw new Error("a record lacks its id");
    });
    await server.listen(FIRST_ADDRESS, PORT);
    const client = connect(FIRST_ADDRESS);
    client.notify("merge", {});
    // Messages on one connection are handled in order.
    const failure = await client.call("merge", {}, 5_000).catch((error) =>
      error
    );
    chai.expect(failure).to.be.instanceOf(Error);
    const line = "merge: a record lacks its id";
    chai.expect(reported).to.deep.equal([line, line]);
  });

  it("replaces a silent connection that carries only notifications", async () => {
    const received = await listen(FIRST_ADDRESS);
    const sockets: net.Socket[] = [];
    // The first connection stays open and forwards nothing; later ones work.
    const proxy = net.createServer((socket) => {
      sockets.push(socket);
      if (sockets.length === 1) return void socket.resume();
      const upstream = net.connect(PORT, FIRST_ADDRESS);
      sockets.push(upstream);
      socket.pipe(upstream).pipe(socket);
    });
    await new Promise<void>((resolve) =>
      proxy.listen(PORT, PROXY_ADDRESS, resolve)
    );
    const client = new rpcClients.RpcClient(
      { address: PROXY_ADDRESS, port: PORT },
      20,
    );
    clients.push(client);
    for (let poll = 0; poll < MAX_POLLS && received.length === 0; poll += 1) {
      client.notify("note", { text: "heard" });
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    chai.expect(received[0]).to.equal("heard");
    for (const socket of sockets) socket.destroy();
    proxy.close();
  });

  it("encodes a notification once for all receivers", () => {
    const params = { text: "long".repeat(1_000) };
    const first = framing.encodeFrame({ method: "note", params });
    const second = framing.encodeFrame({ method: "note", params });
    chai.expect(second).to.equal(first);
  });

  it("compresses texts unless they are too long", () => {
    const sizes = [20_000, 600_000].map((length) =>
      framing.encodeFrame({
        method: "note",
        params: { text: "x".repeat(length) },
      }).length
    );
    chai.expect(sizes[0]).to.be.lessThan(2_000);
    chai.expect(sizes[1]).to.be.greaterThan(600_000);
  });

  it("compresses the most frequent messages to less than a quarter", () => {
    const refresh = {
      id: "10.3.0.17",
      sequence: 120,
      content: "1788600000123 true false 10.3.0.17:8161 false false",
    };
    const message = {
      jsonrpc: "2.0",
      method: "fleet.news",
      params: {
        from: "10.3.0.17",
        wantsRelay: false,
        boxes: [],
        servers: [],
        boxRefreshes: [refresh],
        serverRefreshes: [],
        configurationVersion: 7,
      },
    };
    const plain = JSON.stringify(message).length;
    chai.expect(framing.encodeFrame(message).length).to.be.lessThan(
      plain / 4,
    );
  });

  it("decodes encoded texts of any length", () => {
    const lengths = [0, 1, 60, 960, 980, 1_000, 1_024, 2_000, 600_000];
    const sent = lengths.map((length) => ({
      text: "äx\u0000".repeat(length).slice(0, length),
    }));
    const socket = new stream.PassThrough();
    const received: unknown[] = [];
    messageReaders.readMessages(
      socket as unknown as net.Socket,
      (message) => received.push(message),
    );
    for (const message of sent) {
      socket.emit("data", framing.encodeFrame(message));
    }
    chai.expect(received).to.deep.equal(sent);
  });

  it("does not reuse a cached frame for a call", () => {
    const params = { text: "a" };
    const notification = framing.encodeFrame({ method: "echo", params });
    const firstCall = framing.encodeFrame({ id: 1, method: "echo", params });
    const secondCall = framing.encodeFrame({ id: 2, method: "echo", params });
    chai.expect(firstCall.equals(notification)).to.equal(false);
    chai.expect(secondCall.equals(firstCall)).to.equal(false);
  });
});
