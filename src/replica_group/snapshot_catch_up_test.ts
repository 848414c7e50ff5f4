import * as chai from "chai";
import type * as faultSchedules from "./fault_schedule_test.ts";
import * as scheduleRunners from "./schedule_runner_test.ts";

/*
 * A replica that lost its disk was sent a snapshot; while it was under way the
 * leader took the next one and cut the entries that follow the first out of its
 * log. Having taken the one, the replica needed the other, and so on: with 200
 * commands a second and a snapshot each 200 the box counted again only after more
 * than 5.1 s ("no leader without b: a NOT ADMITTED 4.7560, b 4.8170, c 4.8174").
 */

const START_MS = [1_266, 1_266, 1_266, 1_266, 1_266];

const SCHEDULE: faultSchedules.Schedule = {
  load: "slow",
  syncMs: 10,
  entries: 2_600,
  commandsPerS: 200,
  entryMs: 0,
  snapshotEntries: 200,
  leaseMs: undefined,
  faults: [
    {
      afterMs: 4_238,
      fault: {
        kind: "slowDisk",
        target: "otherFollower",
        ms: 1_243,
        factor: 4,
      },
    },
    {
      afterMs: 2_641,
      fault: { kind: "powerOfAll", startMs: START_MS, keptWrites: 1 },
    },
    {
      afterMs: 4_153,
      fault: {
        kind: "powerOfOne",
        target: "leader",
        startMs: 300,
        keptWrites: 0,
      },
    },
    {
      afterMs: 2_653,
      fault: { kind: "slowDisk", target: "lost", ms: 1_722, factor: 2 },
    },
    { afterMs: 2_996, fault: { kind: "freeze", target: "leader", ms: 866 } },
    {
      afterMs: 475,
      fault: { kind: "slowDisk", target: "otherFollower", ms: 114, factor: 2 },
    },
    {
      afterMs: 2_111,
      fault: { kind: "disk", target: "follower", startMs: 2_173 },
    },
  ],
  last: {
    kind: "diskAndPowerOfAll",
    target: "follower",
    startMs: [300, 300, 300, 300, 300],
  },
};

describe("a replica that is fed by a snapshot", () => {
  it("finds the entries that follow it, however fast the log is cut", async () => {
    const { violation, events: story } = await scheduleRunners.runSchedule(
      SCHEDULE,
    );
    chai.expect(violation, story.join("\n")).to.equal(undefined);
  });
});
