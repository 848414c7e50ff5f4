import type * as simulatedNodes from "./simulated_node_test.ts";

export const SCHEDULE_COUNT = Number(
  process.env["HOISTSCALE_SCHEDULES"] ?? 400,
);

export const FAULT_FREE: Omit<simulatedNodes.ScheduleOptions, "seed"> = {
  replicas: 5,
  rounds: 400,
  lossChance: 0,
  repeatChance: 0,
  crashChance: 0,
  partitionChance: 0,
  compactChance: 0,
  transferChance: 0,
  wipeChance: 0,
  clockStepChance: 0,
  extraReplicas: 0,
  membershipChance: 0,
  suspendChance: 0,
};

export const FAULTY: Omit<simulatedNodes.ScheduleOptions, "seed"> = {
  replicas: 5,
  rounds: 500,
  lossChance: 60,
  repeatChance: 60,
  crashChance: 4,
  partitionChance: 10,
  compactChance: 5,
  transferChance: 5,
  wipeChance: 0,
  clockStepChance: 0,
  extraReplicas: 0,
  membershipChance: 0,
  suspendChance: 0,
};
