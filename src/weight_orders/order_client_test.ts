import * as chai from "chai";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as dialectFixtures from "./dialect_fixture_test.ts";
import * as orderClients from "./order_client.ts";

describe("readReport", () => {
  const engine = new rawServers.RawServer();

  before(() => engine.start());

  after(() => engine.stop());

  // Guards against a surplus answer to a request with an id that is taken for the
  // engine's report.
  it("ignores an answer that names a request", async () => {
    engine.handle = ({ socket }) =>
      socket.write(rawServers.formatRawAnswer(200, { id: "item-1" }, "{}"));
    const server = serverFixtures.createServer("e-1", {
      port: engine.getPort(),
    });
    const reading = await orderClients.readReport(
      server,
      dialectFixtures.DIALECT,
    );
    chai.expect(reading.kind).to.equal("unread");
  });
});
