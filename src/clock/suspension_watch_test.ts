import * as chai from "chai";
import * as fakeClocks from "./fake_clock.ts";
import * as suspensionWatches from "./suspension_watch.ts";

describe("watch for suspensions", () => {
  it("tells the moment of waking, at the first look after it", () => {
    const clock = new fakeClocks.FakeClock(1_000);
    const watch = new suspensionWatches.SuspensionWatch(clock);
    clock.extendBy(500);
    chai.expect(watch.getWokeAtMs()).to.equal(Number.NEGATIVE_INFINITY);
    clock.suspend(3_000);
    chai.expect(clock.getMonotonicMs()).to.equal(1_500);
    chai.expect(watch.getWokeAtMs()).to.equal(1_500);
    clock.extendBy(10_000);
    chai.expect(watch.getWokeAtMs()).to.equal(1_500);
  });

  it("finds a suspension after the time of day was set back", () => {
    const clock = new fakeClocks.FakeClock(100_000);
    const watch = new suspensionWatches.SuspensionWatch(clock);
    clock.stepWall(-60_000);
    chai.expect(watch.getWokeAtMs()).to.equal(Number.NEGATIVE_INFINITY);
    clock.suspend(200);
    chai.expect(watch.getWokeAtMs()).to.equal(100_000);
  });

  it("takes no time of day that is being corrected for a suspension", () => {
    const clock = new fakeClocks.FakeClock(0);
    const watch = new suspensionWatches.SuspensionWatch(clock);
    for (let turn = 0; turn < 10_000; turn += 1) {
      clock.extendBy(100);
      clock.stepWall(0.05);
      watch.getWokeAtMs();
    }
    chai.expect(watch.getWokeAtMs()).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("takes no pause between two readings for a suspension", () => {
    const fake = new fakeClocks.FakeClock(0);
    let pauses: readonly number[] = [];
    function wait(): void {
      const [first = 0, ...rest] = pauses;
      pauses = rest;
      fake.extendBy(first);
    }
    const watch = new suspensionWatches.SuspensionWatch({
      getMonotonicMs: () => {
        wait();
        return fake.getMonotonicMs();
      },
      getWallMs: () => {
        wait();
        return fake.getWallMs();
      },
    });
    for (const turn of [[0, 90, 0], [0, 0, 90], [90, 0, 0], [0, 80, 80]]) {
      pauses = turn;
      chai.expect(watch.getWokeAtMs()).to.equal(Number.NEGATIVE_INFINITY);
    }
    fake.suspend(200);
    chai.expect(watch.getWokeAtMs()).to.be.greaterThan(0);
  });

  it("adds up short suspensions", () => {
    const clock = new fakeClocks.FakeClock(0);
    const watch = new suspensionWatches.SuspensionWatch(clock);
    for (let turn = 0; turn < 6; turn += 1) {
      clock.extendBy(10);
      clock.suspend(20);
      watch.getWokeAtMs();
    }
    chai.expect(watch.getWokeAtMs()).to.be.greaterThan(0);
  });
});
