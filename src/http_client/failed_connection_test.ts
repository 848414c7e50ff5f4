import * as net from "node:net";
import * as chai from "chai";
import * as brokenServers from "../fixtures/broken_server.ts";
import * as agents from "./_agent.ts";
import * as fixtures from "./ask_fixture_test.ts";
import * as probePorts from "./probe_port.ts";

const MB = 1_000_000;
const ADDRESS = "127.0.0.1";
const WHOLE = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
/** Requests in a row, as what is looked for depends on the scheduling. */
const REPETITIONS = 12;

// Guards against a connection that fails ending the process, as an error without a
// listener does; Mocha reports it as a failure of the test. A server answered whole
// and reset the connection while a long upload was still being written: six of six
// entry boxes ended, as the callers' repeats carried it from box to box.
describe("connection that fails", () => {
  let server = new brokenServers.BrokenServer();

  beforeEach(async () => {
    server = new brokenServers.BrokenServer();
    await server.start();
  });

  afterEach(() => server.stop());

  for (const isFreshConnection of [false, true]) {
    const way = isFreshConnection ? "a new" : "a pooled";
    for (const size of [4 * MB, 8 * MB, 16 * MB]) {
      it(
        `ends no process after a whole answer to an upload of ${
          size / MB
        } MB, on ${way} connection`,
        async () => {
          server.answer = { bytes: WHOLE, end: "reset", readsBody: false };
          const body = Buffer.alloc(size);
          for (let at = 0; at < REPETITIONS; at += 1) {
            const outcome = await fixtures.ask(server, {
              body,
              isFreshConnection,
            });
            // The upload may fail before the answer is read, or after it.
            chai.expect(outcome.kind).to.be.oneOf(["answered", "broken"]);
          }
          server.answer = { bytes: WHOLE, end: "none", readsBody: true };
          const { kind } = await fixtures.ask(server, {
            body: "abc",
            isFreshConnection: true,
          });
          chai.expect(kind).to.equal("answered");
        },
      );
    }
  }

  const DEMANDS: Readonly<Record<string, Partial<agents.ConnectionDemand>>> = {
    "for requests with an id": { requestId: "a" },
    "for reads": { method: "GET" },
    "that is not kept": {},
  };
  for (const [name, demand] of Object.entries(DEMANDS)) {
    it(`ends no process while no request has it, ${name}`, async () => {
      const port = server.getPort();
      const agent = agents.chooseAgent({
        address: ADDRESS,
        port,
        method: "POST",
        ...demand,
      });
      const socket = agent.createConnection({ host: ADDRESS, port });
      if (!(socket instanceof net.Socket)) throw new Error("no connection");
      const closed = new Promise((resolve) => socket.once("close", resolve));
      socket.destroy(new Error("it failed"));
      await closed;
    });
  }

  it("ends no process when a probed port resets connections", async () => {
    const resetting = net.createServer((socket) => socket.resetAndDestroy());
    await new Promise<void>((resolve) => resetting.listen(0, ADDRESS, resolve));
    const { port } = resetting.address() as net.AddressInfo;
    for (let at = 0; at < REPETITIONS; at += 1) {
      const state = await probePorts.probePort(ADDRESS, port);
      chai.expect(state).to.be.oneOf(["open", "silent"]);
    }
    resetting.close();
  });
});
