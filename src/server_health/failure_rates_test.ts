import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as failureRates from "./failure_rates.ts";

describe("FailureRates", () => {
  const clock = new clocks.FakeClock();
  let rates = new failureRates.FailureRates(clock);

  beforeEach(() => {
    rates = new failureRates.FailureRates(clock);
  });

  it("starts at zero, rises with failures and falls with successes", () => {
    chai.expect(rates.get("a")).to.equal(0);
    for (let round = 0; round < 4; round += 1) rates.record("a", false);
    const high = rates.get("a");
    chai.expect(high).to.be.within(0.7, 0.8);
    rates.record("a", true);
    chai.expect(rates.get("a")).to.be.lessThan(high);
    chai.expect(rates.get("b")).to.equal(0);
  });

  it("decays without new outcomes, so that a server becomes eligible again", () => {
    rates.record("a", false);
    const before = rates.get("a");
    clock.advance(2_000);
    chai.expect(rates.get("a")).to.be.closeTo(before / 2, 1e-9);
  });
});
