import * as chai from "chai";
import * as fakeClocks from "./fake_clock.ts";
import * as suspensionDetectors from "./suspension_detector.ts";

describe("watch for suspensions", () => {
  it("tells the moment of waking, at the first look after it", () => {
    const clock = new fakeClocks.FakeClock(1_000);
    const watch = new suspensionDetectors.SuspensionDetector(clock);
    clock.advance(500);
    chai.expect(watch.getResumedAtMs()).to.equal(Number.NEGATIVE_INFINITY);
    clock.suspend(3_000);
    chai.expect(clock.getMonotonicMs()).to.equal(1_500);
    chai.expect(watch.getResumedAtMs()).to.equal(1_500);
    clock.advance(10_000);
    chai.expect(watch.getResumedAtMs()).to.equal(1_500);
  });

  it("finds a suspension after the time of day was set back", () => {
    const clock = new fakeClocks.FakeClock(100_000);
    const watch = new suspensionDetectors.SuspensionDetector(clock);
    clock.stepWall(-60_000);
    chai.expect(watch.getResumedAtMs()).to.equal(Number.NEGATIVE_INFINITY);
    clock.suspend(200);
    chai.expect(watch.getResumedAtMs()).to.equal(100_000);
  });

  it("takes no time of day that is being corrected for a suspension", () => {
    const clock = new fakeClocks.FakeClock(0);
    const watch = new suspensionDetectors.SuspensionDetector(clock);
    for (let turn = 0; turn < 10_000; turn += 1) {
      clock.advance(100);
      clock.stepWall(0.05);
      watch.getResumedAtMs();
    }
    chai.expect(watch.getResumedAtMs()).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("takes no pause between two readings for a suspension", () => {
    const fake = new fakeClocks.FakeClock(0);
    let pauses: readonly number[] = [];
    function pause(): void {
      const [first = 0, ...rest] = pauses;
      pauses = rest;
      fake.advance(first);
    }
    const watch = new suspensionDetectors.SuspensionDetector({
      getMonotonicMs: () => {
        pause();
        return fake.getMonotonicMs();
      },
      getWallMs: () => {
        pause();
        return fake.getWallMs();
      },
    });
    for (const turn of [[0, 90, 0], [0, 0, 90], [90, 0, 0], [0, 80, 80]]) {
      pauses = turn;
      chai.expect(watch.getResumedAtMs()).to.equal(Number.NEGATIVE_INFINITY);
    }
    fake.suspend(200);
    chai.expect(watch.getResumedAtMs()).to.be.greaterThan(0);
  });

  it("adds up short suspensions", () => {
    const clock = new fakeClocks.FakeClock(0);
    const watch = new suspensionDetectors.SuspensionDetector(clock);
    for (let turn = 0; turn < 6; turn += 1) {
      clock.advance(10);
      clock.suspend(20);
      watch.getResumedAtMs();
    }
    chai.expect(watch.getResumedAtMs()).to.be.greaterThan(0);
  });
});
