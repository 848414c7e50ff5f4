import * as chai from "chai";
import * as durationEstimates from "./duration_estimates.ts";

function getKnown(
  estimates: durationEstimates.DurationEstimates,
): durationEstimates.DurationStatistics {
  const known = estimates.get("a");
  if (known === undefined) throw new Error("nothing is known");
  return known;
}

describe("duration estimates", () => {
  it("knows nothing of a kind without requests", () => {
    const estimates = new durationEstimates.DurationEstimates();
    estimates.record("a", 10);
    chai.expect(estimates.get("b")).to.equal(undefined);
  });

  it("estimates constant durations exactly from the first one on", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let count = 0; count < 5; count += 1) {
      estimates.record("a", 1_500);
      chai.expect(estimates.get("a")).to.deep.equal({
        meanMs: 1_500,
        deviationMs: 0,
      });
    }
  });

  it("knows how far durations differ from their mean", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let count = 0; count < 200; count += 1) {
      estimates.record("a", count % 2 === 0 ? 300 : 1_800);
    }
    const { meanMs, deviationMs } = getKnown(estimates);
    chai.expect(meanMs).to.be.within(900, 1_200);
    chai.expect(deviationMs).to.be.within(650, 850);
  });

  it("follows durations that change for good", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let count = 0; count < 50; count += 1) estimates.record("a", 1_800);
    for (let count = 0; count < 100; count += 1) estimates.record("a", 200);
    const { meanMs, deviationMs } = getKnown(estimates);
    chai.expect(meanMs).to.be.within(200, 205);
    chai.expect(deviationMs).to.be.within(0, 20);
  });

  it("bounds the number of kinds", () => {
    const estimates = new durationEstimates.DurationEstimates();
    for (let kind = 0; kind <= 1_024; kind += 1) estimates.record(`${kind}`, 1);
    chai.expect(estimates.get("0")).to.equal(undefined);
    chai.expect(estimates.get("1024")?.meanMs).to.equal(1);
  });
});
