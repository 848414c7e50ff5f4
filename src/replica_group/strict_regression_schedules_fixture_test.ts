import type * as fixtures from "./regression_schedules_fixture_test.ts";

/**
 * Where it counts from the launch of a process, and a loss of power of all boxes
 * does not count.
 */
export const STRICT_SCHEDULES: readonly fixtures.RegressionSchedule[] = [
  {
    name: "a voter is gone, and all lose power 3 s later",
    schedule: {
      load: "quiet",
      isStrict: true,
      syncMs: 1,
      entries: 200,
      commandsPerS: 0,
      entryMs: 0,
      snapshotEntries: 4_096,
      leaseMs: 3_000,
      faults: [{
        afterMs: 609,
        fault: { kind: "gone", target: "follower", startMs: 300 },
      }, {
        afterMs: 2_990,
        fault: {
          kind: "powerOfAll",
          startMs: [1_578, 1_578, 1_578, 1_578, 1_578],
          keptWrites: 1,
        },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "follower",
        startMs: [300, 300, 300, 300, 300],
      },
    },
  },
  {
    name:
      "the leader loses its disk and starts after 3.9 s, and all lose power meanwhile",
    schedule: {
      load: "quiet",
      isStrict: true,
      syncMs: 1,
      entries: 20,
      commandsPerS: 10,
      entryMs: 0,
      snapshotEntries: 100,
      leaseMs: 3_000,
      faults: [{
        afterMs: 2_196,
        fault: { kind: "disk", target: "leader", startMs: 3_918 },
      }, {
        afterMs: 3_298,
        fault: {
          kind: "powerOfAll",
          startMs: [2_970, 2_970, 2_970, 2_970, 2_970],
          keptWrites: 0,
        },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "leader",
        startMs: [300, 300, 300, 300, 300],
      },
    },
  },
  {
    name: "the same disk is lost twice, and all lose power meanwhile",
    schedule: {
      load: "busy",
      isStrict: true,
      syncMs: 10,
      entries: 200,
      commandsPerS: 50,
      entryMs: 0,
      snapshotEntries: 200,
      leaseMs: undefined,
      faults: [{
        afterMs: 66,
        fault: { kind: "disk", target: "leader", startMs: 3_206 },
      }, {
        afterMs: 4_256,
        fault: { kind: "slowDisk", target: "leader", ms: 5_674, factor: 4 },
      }, {
        afterMs: 527,
        fault: { kind: "disk", target: "lost", startMs: 3_936 },
      }, {
        afterMs: 3_428,
        fault: {
          kind: "powerOfAll",
          startMs: [300, 300, 380, 1_244, 300],
          keptWrites: 0,
        },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "leader",
        startMs: [300, 300, 300, 300, 300],
      },
    },
  },
  {
    name: "a box is emptied, another one gone, and all lose power meanwhile",
    schedule: {
      load: "busy",
      isStrict: true,
      syncMs: 1,
      entries: 200,
      commandsPerS: 50,
      entryMs: 0,
      snapshotEntries: 200,
      leaseMs: 3_000,
      faults: [{
        afterMs: 26,
        fault: { kind: "cut", target: "leader", ms: 4_950, direction: "out" },
      }, {
        afterMs: 3_515,
        fault: { kind: "cut", target: "leader", ms: 5_494, direction: "both" },
      }, {
        afterMs: 2_266,
        fault: { kind: "disk", target: "lost", startMs: 300 },
      }, {
        afterMs: 1_435,
        fault: {
          kind: "retire",
          target: "otherFollower",
          startMs: 300,
          takenMs: 1_000,
        },
      }, {
        afterMs: 4_170,
        fault: { kind: "gone", target: "leader", startMs: 796 },
      }, {
        afterMs: 2_045,
        fault: {
          kind: "powerOfAll",
          startMs: [300, 300, 300, 300, 300],
          keptWrites: 0,
        },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "follower",
        startMs: [1_733, 1_733, 1_733, 1_733, 1_733],
      },
    },
  },
];
