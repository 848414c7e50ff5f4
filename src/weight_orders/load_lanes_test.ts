import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as loadLanes from "./load_lanes.ts";

describe("loads at once", () => {
  let clock = new clocks.FakeClock();
  let lanes = new loadLanes.LoadLanes(clock);

  beforeEach(() => {
    clock = new clocks.FakeClock();
    lanes = new loadLanes.LoadLanes(clock);
  });

  it("counts a load until it ends", () => {
    lanes.begin("a");
    lanes.begin("b");
    clock.extendBy(500);
    chai.expect(lanes.count()).to.equal(2);
    lanes.end("a", true);
    chai.expect(lanes.count()).to.equal(1);
  });

  it("counts a load whose end is not seen no longer than loads take", () => {
    lanes.begin("silent");
    clock.extendBy(901);
    chai.expect(lanes.count()).to.equal(0);
  });

  it("learns how long loads take, from those that were seen to end", () => {
    for (let load = 0; load < 40; load += 1) {
      lanes.begin("a");
      clock.extendBy(2_000);
      lanes.end("a", true);
    }
    chai.expect(lanes.getLoadMs()).to.be.closeTo(1_800, 10);
    lanes.begin("a");
    clock.extendBy(9_000);
    lanes.end("a", false);
    chai.expect(lanes.getLoadMs()).to.be.closeTo(1_800, 10);
  });
});
