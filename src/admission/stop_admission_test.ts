import * as chai from "chai";
import * as stopAdmissions from "./stop_admission.ts";

const SERVES_UNTIL_MS = 8_000;

function decide(
  nowMs: number,
  leftMs: number,
  expectedMs: number,
  servesUntilMs = SERVES_UNTIL_MS,
): stopAdmissions.StopDecision {
  return stopAdmissions.decideBeforeStop({
    nowMs,
    servesUntilMs,
    deadlineAtMs: nowMs + leftMs,
    expectedMs,
  });
}

// Guards against requests that are cut off as their box ends, and against
// requests that are refused although they could be answered.
describe("stop admission", () => {
  it("serves everything while no stop has begun", () => {
    chai.expect(decide(1_000, 60_000, 70_000, Number.POSITIVE_INFINITY)).to.deep
      .equal({ kind: "serve", deadlineAtMs: 61_000 });
  });

  it("serves a request whose deadline comes before the end, however slow", () => {
    chai.expect(decide(6_000, 2_000, 5_000)).to.deep.equal({
      kind: "serve",
      deadlineAtMs: 8_000,
    });
  });

  it("limits the deadline of a request that is expected to fit", () => {
    chai.expect(decide(6_400, 2_000, 1_500)).to.deep.equal({
      kind: "serve",
      deadlineAtMs: SERVES_UNTIL_MS,
    });
  });

  it("refuses a request that is not expected to fit", () => {
    chai.expect(decide(6_600, 2_000, 1_500)).to.deep.equal({
      kind: "refuse",
      remainingMs: 1_400,
    });
  });

  it("leaves some time beyond the expected duration", () => {
    chai.expect(decide(6_450, 2_000, 1_500).kind).to.equal("serve");
    chai.expect(decide(6_460, 2_000, 1_500).kind).to.equal("refuse");
  });

  it("refuses every request once the box has stopped serving", () => {
    chai.expect(decide(8_000, 0, 0).kind).to.equal("refuse");
    chai.expect(decide(8_010, 2_000, 0).kind).to.equal("refuse");
    chai.expect(decide(9_000, -1_500, 0).kind).to.equal("refuse");
  });
});
