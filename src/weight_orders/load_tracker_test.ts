import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as loadTrackers from "./load_tracker.ts";

describe("load tracker", () => {
  let clock = new clocks.FakeClock();
  let tracker = new loadTrackers.LoadTracker(clock);

  beforeEach(() => {
    clock = new clocks.FakeClock();
    tracker = new loadTrackers.LoadTracker(clock);
  });

  it("counts a load as running until it ends", () => {
    tracker.begin("a");
    tracker.begin("b");
    clock.advance(500);
    chai.expect(tracker.countRunning()).to.equal(2);
    tracker.end("a", true);
    chai.expect(tracker.countRunning()).to.equal(1);
  });

  it("stops counting an unobserved load after the expected duration", () => {
    tracker.begin("silent");
    clock.advance(901);
    chai.expect(tracker.countRunning()).to.equal(0);
  });

  it("averages the durations of observed loads only", () => {
    for (let load = 0; load < 40; load += 1) {
      tracker.begin("a");
      clock.advance(2_000);
      tracker.end("a", true);
    }
    chai.expect(tracker.getExpectedLoadMs()).to.be.closeTo(1_800, 10);
    tracker.begin("a");
    clock.advance(9_000);
    tracker.end("a", false);
    chai.expect(tracker.getExpectedLoadMs()).to.be.closeTo(1_800, 10);
  });
});
