import * as schedules from "./schedule_fixture_test.ts";

describe("voters that are replaced in one step after they lost their disks", () => {
  schedules.describeSchedules(
    "keep every invariant",
    (seed) => ({
      ...schedules.FAULTY,
      replicas: seed % 2 === 0 ? 3 : 5,
      extraReplicas: 2,
      replaceChance: 300,
      wipeChance: 500,
      crashChance: 8,
      partitionChance: 20,
      suspendChance: seed % 3 === 0 ? 5 : 0,
      seed,
    }),
  );

  schedules.describeSchedules(
    "keep every invariant while messages take up to 600 ms",
    (seed) => ({
      ...schedules.FAULTY,
      replicas: seed % 2 === 0 ? 3 : 5,
      extraReplicas: 2,
      replaceChance: 300,
      wipeChance: 500,
      crashChance: 8,
      partitionChance: 20,
      maxDelayMs: 600,
      seed,
    }),
  );

  for (const replaceChance of [0, 300]) {
    schedules.describeSchedules(
      `keep every invariant while successors are struck, ${replaceChance} per mille replaced`,
      (seed) => ({
        ...schedules.FAULTY,
        rounds: 1_500,
        replicas: seed % 2 === 0 ? 3 : 5,
        extraReplicas: 1,
        replaceChance,
        successorChance: 40,
        crashChance: 2,
        partitionChance: 0,
        transferChance: 0,
        wipeChance: 0,
        seed,
      }),
    );
  }
});
