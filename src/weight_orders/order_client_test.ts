import * as chai from "chai";
import type * as dialects from "../dialect/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as orderClients from "./order_client.ts";

/** The parts of a dialect that a read uses. */
const DIALECT = {
  createReportRequest: () => ({
    method: "GET",
    target: "/state",
    headers: {},
    body: undefined,
  }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
  }),
  parseEngineReport: (body: Buffer) => ({
    kind: "ok",
    value: JSON.parse(String(body)),
  }),
} as unknown as dialects.Dialect;

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
    const reading = await orderClients.readReport(server, DIALECT);
    chai.expect(reading.kind).to.equal("unread");
  });
});
