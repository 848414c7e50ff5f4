import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as bootstrapServices from "./bootstrap_service.ts";

function createRequest(id: string): bootstrapServices.BootstrapRequest {
  return { group: "g", id, failureDomain: id, wanted: 3, least: 3 };
}

describe("founding desk", () => {
  const clock = new clocks.FakeClock();
  const log = new logs.Log("box", "error", () => {});
  const server = { add: () => {} };

  it("waits for late applicants, chooses once and keeps to it", () => {
    const service = new bootstrapServices.BootstrapService({
      clock,
      log,
      server,
      isFirstStart: true,
    });
    function sendRequest(id: string): bootstrapServices.BootstrapReply {
      return service.handleRequest(createRequest(id));
    }
    chai.expect(sendRequest("a").kind).to.equal("wait");
    clock.advance(5_000);
    chai.expect(sendRequest("b").kind).to.equal("wait");
    chai.expect(sendRequest("c").kind).to.equal("wait");
    clock.advance(1_100);
    const reply = { kind: "founded", voters: ["a", "b", "c"] };
    chai.expect(sendRequest("a")).to.deep.equal(reply);
    chai.expect(sendRequest("d")).to.deep.equal(reply);
    clock.advance(60_000);
    chai.expect(sendRequest("b")).to.deep.equal(reply);
  });

  it("never chooses in a process that is not the box's first", () => {
    const service = new bootstrapServices.BootstrapService({
      clock,
      log,
      server,
      isFirstStart: false,
    });
    chai.expect(service.handleRequest(createRequest("a")).kind).to.equal(
      "refused",
    );
  });
});
