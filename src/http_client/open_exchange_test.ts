import * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as agents from "./_agent.ts";
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

  describe("on pooled connections", () => {
    let server = new rawServers.RawServer();

    beforeEach(async () => {
      server = new rawServers.RawServer();
      await server.start();
      server.handle = ({ connection, socket }) =>
        socket.write(rawServers.formatRawAnswer(200, {}, `of ${connection}`));
    });

    afterEach(() => server.stop());

    async function ask(
      requestId?: string,
      method = "POST",
    ): Promise<string> {
      const outcome = await sendRequest.sendRequest({
        ...REQUEST,
        method,
        port: server.getPort(),
        ...(requestId === undefined ? {} : { requestId }),
      });
      return outcome.kind === "answered" ? String(outcome.body) : outcome.kind;
    }

    // Guards against a surplus answer that is taken for the answer to a later
    // request on the same connection.
    it("closes an idle connection on which an answer arrives", async () => {
      chai.expect(await ask("a")).to.equal("of 1");
      chai.expect(await ask("b")).to.equal("of 1");
      const [first] = server.connections as [net.Socket];
      const closed = new Promise((resolve) => first.once("close", resolve));
      first.write(rawServers.formatRawAnswer(200, {}, "surplus"));
      await closed;
      chai.expect(await ask("c")).to.equal("of 2");
    });

    // Guards against a surplus answer to one attempt that is taken for the answer
    // to a later attempt with the same id.
    it("sends each id once on a connection", async () => {
      chai.expect(await ask("a")).to.equal("of 1");
      chai.expect(await ask("a")).to.equal("of 2");
      chai.expect(await ask("b")).to.equal("of 1");
      chai.expect(await ask("a")).to.equal("of 3");
    });

    // Guards against the same where requests have no id.
    it("sends a request without an id on a new connection", async () => {
      chai.expect(await ask("a")).to.equal("of 1");
      chai.expect(await ask()).to.equal("of 2");
      chai.expect(await ask()).to.equal("of 3");
    });

    it("sends reads on connections apart from those of requests with ids", async () => {
      chai.expect(await ask("a")).to.equal("of 1");
      chai.expect(await ask(undefined, "GET")).to.equal("of 2");
      chai.expect(await ask("b")).to.equal("of 1");
      chai.expect(await ask(undefined, "GET")).to.equal("of 2");
    });

    // Guards against a surplus answer to a read of long ago that is taken for the
    // answer to a later one.
    it("keeps a connection of reads for a limited time", () => {
      const clock = new clocks.FakeClock();
      const agent = new agents.ReadAgent(clock);
      const socket = new net.Socket();
      agent.recordSend(socket);
      clock.advance(999);
      chai.expect(agent.keepSocketAlive(socket)).to.equal(true);
      agent.recordSend(socket);
      clock.advance(1);
      chai.expect(agent.keepSocketAlive(socket)).to.equal(false);
    });

    // Guards against a surplus 421, which may name no request, that is taken for
    // the answer to a later one.
    it("reuses no connection after a 421", async () => {
      server.handle = ({ connection, socket }) =>
        socket.write(rawServers.formatRawAnswer(421, {}, `of ${connection}`));
      chai.expect(await ask("a")).to.equal("of 1");
      chai.expect(await ask("b")).to.equal("of 2");
    });
  });
});
