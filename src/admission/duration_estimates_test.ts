import * as chai from "chai";
import * as durationEstimates from "./duration_estimates.ts";

describe("duration estimates", () => {
  it("knows nothing of a kind without requests", () => {
    const estimates = new durationEstimates.DurationEstimates();
    estimates.record("a", 10);
    chai.expect(estimates.estimateMs("b")).to.equal(undefined);
  });

  it("estimates constant durations exactly from the first one on", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let count = 0; count < 5; count += 1) {
      estimates.record("a", 1_500);
      chai.expect(estimates.estimateMs("a")).to.equal(1_500);
    }
  });

  it("estimates more than the mean where durations differ", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let count = 0; count < 200; count += 1) {
      estimates.record("a", count % 2 === 0 ? 300 : 1_800);
    }
    chai.expect(estimates.estimateMs("a")).to.be.within(1_600, 2_000);
  });

  it("follows durations that change for good", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let count = 0; count < 50; count += 1) estimates.record("a", 1_800);
    for (let count = 0; count < 100; count += 1) estimates.record("a", 200);
    chai.expect(estimates.estimateMs("a")).to.be.within(200, 220);
  });

  it("bounds the number of kinds", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let kind = 0; kind <= 1_024; kind += 1) estimates.record(`${kind}`, 1);
    chai.expect(estimates.estimateMs("0")).to.equal(undefined);
    chai.expect(estimates.estimateMs("1024")).to.equal(1);
  });
});
