import type * as faultSchedules from "./fault_schedule_test.ts";

/** A schedule that a random search found, as short as it could be made. */
export interface RegressionSchedule {
  readonly name: string;
  readonly schedule: faultSchedules.Schedule;
}

/**
 * Where the while after a return counts from the time that a process runs. The
 * first one never heals while its leader leads.
 */
export const SCHEDULES: readonly RegressionSchedule[] = [
  {
    name:
      "a spare loses its disk while it takes a snapshot, then a voter is gone",
    schedule: {
      load: "quiet",
      syncMs: 3,
      entries: 200,
      commandsPerS: 10,
      entryMs: 0,
      snapshotEntries: 100,
      leaseMs: undefined,
      faults: [{
        afterMs: 3_181,
        fault: { kind: "gone", target: "leader", startMs: 300 },
      }, {
        afterMs: 4_956,
        fault: { kind: "disk", target: "spare", startMs: 2_331 },
      }, {
        afterMs: 9_000,
        fault: { kind: "gone", target: "otherFollower", startMs: 300 },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "leader",
        startMs: [300, 300, 593, 1_340, 1_601],
      },
    },
  },
  {
    name: "the leader is gone, and the spare's disk is half as fast for 1.5 s",
    schedule: {
      load: "busy",
      syncMs: 10,
      entries: 1_000,
      commandsPerS: 50,
      entryMs: 0.2,
      snapshotEntries: 4_096,
      leaseMs: undefined,
      faults: [{
        afterMs: 4_320,
        fault: { kind: "gone", target: "leader", startMs: 300 },
      }, {
        afterMs: 4_604,
        fault: { kind: "slowDisk", target: "spare", ms: 1_476, factor: 2 },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "follower",
        startMs: [300, 300, 300, 300, 300],
      },
    },
  },
  {
    name: "the leader is gone, and all lose power before its successor starts",
    schedule: {
      load: "busy",
      syncMs: 5,
      entries: 1_000,
      commandsPerS: 20,
      entryMs: 0.2,
      snapshotEntries: 4_096,
      leaseMs: 3_000,
      faults: [{
        afterMs: 112,
        fault: { kind: "gone", target: "leader", startMs: 3_193 },
      }, {
        afterMs: 3_628,
        fault: { kind: "cut", target: "lost", ms: 5_969, direction: "out" },
      }, {
        afterMs: 212,
        fault: {
          kind: "powerOfAll",
          startMs: [650, 1_779, 300, 1_467, 300],
          keptWrites: 1,
        },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "otherFollower",
        startMs: [870, 2_028, 300, 300, 1_848],
      },
    },
  },
  {
    name: "an emptied voter starts after 3.9 s under load",
    schedule: {
      load: "slow",
      syncMs: 20,
      entries: 200,
      commandsPerS: 200,
      entryMs: 0,
      snapshotEntries: 4_096,
      leaseMs: undefined,
      faults: [{
        afterMs: 4_936,
        fault: { kind: "disk", target: "otherFollower", startMs: 3_920 },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "follower",
        startMs: [300, 300, 3_241, 300, 2_253],
      },
    },
  },
  {
    name: "all lose power and one its disk, 40 ms a sync",
    schedule: {
      load: "slow",
      syncMs: 40,
      entries: 2_600,
      commandsPerS: 50,
      entryMs: 0,
      snapshotEntries: 4_096,
      leaseMs: undefined,
      faults: [{
        afterMs: 2_196,
        fault: {
          kind: "diskAndPowerOfAll",
          target: "otherFollower",
          startMs: [783, 783, 783, 783, 783],
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
    name: "the leader is cut off, then loses its disk",
    schedule: {
      load: "slow",
      syncMs: 20,
      entries: 1_650,
      commandsPerS: 50,
      entryMs: 0,
      snapshotEntries: 4_096,
      leaseMs: 3_000,
      faults: [{
        afterMs: 319,
        fault: { kind: "cut", target: "leader", ms: 3_771, direction: "out" },
      }, {
        afterMs: 3_450,
        fault: { kind: "disk", target: "lost", startMs: 2_821 },
      }],
      last: {
        kind: "diskAndPowerOfAll",
        target: "follower",
        startMs: [3_884, 3_884, 3_884, 3_884, 3_884],
      },
    },
  },
  {
    name:
      "a voter is gone after a restart, and all lose power 2.6 s later, quiet",
    schedule: {
      load: "quiet",
      leaseMs: 3_000,
      syncMs: 3,
      entries: 200,
      commandsPerS: 10,
      entryMs: 0,
      snapshotEntries: 100,
      faults: [{
        afterMs: 2_821,
        fault: { kind: "restart", target: "leader", startMs: 3_216 },
      }, {
        afterMs: 4_331,
        fault: { kind: "clock", target: "spare", byMs: 5_321 },
      }, {
        afterMs: 673,
        fault: { kind: "gone", target: "lost", startMs: 300 },
      }, {
        afterMs: 1_880,
        fault: { kind: "cut", target: "lost", ms: 4_181, direction: "both" },
      }, {
        afterMs: 698,
        fault: {
          kind: "powerOfAll",
          startMs: [300, 600, 300, 300, 3_696],
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
];
