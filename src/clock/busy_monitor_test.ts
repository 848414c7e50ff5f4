import * as chai from "chai";
import * as busyMonitors from "./busy_monitor.ts";

describe("busy monitor", () => {
  let times: busyMonitors.LoopTimes = { activeMs: 0, idleMs: 0 };
  let monitor = new busyMonitors.BusyMonitor(() => times);

  beforeEach(() => {
    times = { activeMs: 500, idleMs: 1_000 };
    monitor = new busyMonitors.BusyMonitor(() => times);
  });

  function takeSample(activeMs: number, idleMs: number): number {
    times = {
      activeMs: times.activeMs + activeMs,
      idleMs: times.idleMs + idleMs,
    };
    monitor.takeSample();
    return monitor.getBusyShare();
  }

  it("follows the share of the time since it began", () => {
    chai.expect(monitor.getBusyShare()).to.equal(0);
    chai.expect(takeSample(100, 0)).to.equal(0.5);
    chai.expect(takeSample(100, 0)).to.equal(0.75);
    chai.expect(takeSample(25, 75)).to.equal(0.5);
  });

  it("keeps its value while no time passes", () => {
    takeSample(100, 0);
    chai.expect(takeSample(0, 0)).to.equal(0.5);
  });

  it("reads the times of its own thread", () => {
    const own = new busyMonitors.BusyMonitor();
    own.takeSample();
    chai.expect(own.getBusyShare()).to.be.within(0, 1);
  });
});
