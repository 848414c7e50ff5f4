import type * as simulatedNodes from "./simulated_node_test.ts";

export const SCHEDULES = Number(process.env["HOISTSCALE_SCHEDULES"] ?? 400);

export const CALM: Omit<simulatedNodes.ScheduleOptions, "seed"> = {
  replicas: 5,
  rounds: 400,
  lossChance: 0,
  repeatChance: 0,
  crashChance: 0,
  cutChance: 0,
  compactChance: 0,
  transferChance: 0,
  wipeChance: 0,
  clockStepChance: 0,
  spares: 0,
  memberChance: 0,
  suspendChance: 0,
};

export const ROUGH: Omit<simulatedNodes.ScheduleOptions, "seed"> = {
  replicas: 5,
  rounds: 500,
  lossChance: 60,
  repeatChance: 60,
  crashChance: 4,
  cutChance: 10,
  compactChance: 5,
  transferChance: 5,
  wipeChance: 0,
  clockStepChance: 0,
  spares: 0,
  memberChance: 0,
  suspendChance: 0,
};
