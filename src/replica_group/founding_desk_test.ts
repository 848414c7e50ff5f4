import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as foundingDesks from "./founding_desk.ts";

function createApplicant(id: string): foundingDesks.Applicant {
  return { group: "g", id, failureDomain: id, wanted: 3, least: 3 };
}

describe("founding desk", () => {
  const clock = new clocks.FakeClock();
  const log = new logs.Log("box", "error", () => {});
  const server = { add: () => {} };

  it("waits for late applicants, chooses once and keeps to it", () => {
    const desk = new foundingDesks.FoundingDesk({
      clock,
      log,
      server,
      isFirstStart: true,
    });
    function apply(id: string): foundingDesks.FoundingReply {
      return desk.apply(createApplicant(id));
    }
    chai.expect(apply("a").kind).to.equal("wait");
    clock.advance(5_000);
    chai.expect(apply("b").kind).to.equal("wait");
    chai.expect(apply("c").kind).to.equal("wait");
    clock.advance(1_100);
    const founded = { kind: "founded", voters: ["a", "b", "c"] };
    chai.expect(apply("a")).to.deep.equal(founded);
    chai.expect(apply("d")).to.deep.equal(founded);
    clock.advance(60_000);
    chai.expect(apply("b")).to.deep.equal(founded);
  });

  it("never chooses in a process that is not the box's first", () => {
    const desk = new foundingDesks.FoundingDesk({
      clock,
      log,
      server,
      isFirstStart: false,
    });
    chai.expect(desk.apply(createApplicant("a")).kind).to.equal("refused");
  });
});
