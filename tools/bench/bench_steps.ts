import type * as stepLoads from "../../src/fixtures/step_load.ts";
import * as stepSimulations from "../../src/fixtures/step_simulation.ts";
import type * as stepSchedule from "../../src/step_schedule/mod.ts";

const SEEDS = [1, 2] as const;
/** Offered load as a multiple of the capacity. */
const LOAD_RATIOS = [0.8, 1, 1.25, 1.5] as const;
const SLOTS_PER_ENGINE = 6;
/** Engines that the trainers below keep busy at a load of 1. */
const ENGINES_AT_FULL_LOAD = 9.2;
/** Factors of the time for an event; engines take them in turn. */
const SLOWDOWN_FACTORS = [0.95, 0.95, 1.3] as const;

const TRAINERS: readonly stepLoads.SimulatedTrainer[] = [
  { name: "long", priority: 0, groups: 6, size: 16, meanEvents: 20 },
  { name: "short", priority: 0, groups: 10, size: 8, meanEvents: 12 },
  { name: "many", priority: 1, groups: 12, size: 8, meanEvents: 20 },
].map((trainer) => ({
  ...trainer,
  tailShare: 0.08,
  trainMs: 1_000,
  startMs: 0,
}));

const GROUP_POLICY = {
  kind: "groups",
  admits: true,
  defersSpare: true,
  givesWay: "weighed",
} as const;

const POLICIES: Readonly<Record<string, stepSchedule.SchedulePolicy>> = {
  "latest start": { kind: "latestStart" },
  "spare groups last": { ...GROUP_POLICY, admits: false },
  "admission, spare groups alike": { ...GROUP_POLICY, defersSpare: false },
  "admission, largest gives way": { ...GROUP_POLICY, givesWay: "largest" },
  "admission, weighed": GROUP_POLICY,
};

function createLoad(load: number, knowsLengths: boolean): stepLoads.StepLoad {
  const engines = Array.from(
    { length: Math.round(ENGINES_AT_FULL_LOAD / load) },
    (_, index) => SLOWDOWN_FACTORS[index % SLOWDOWN_FACTORS.length] ?? 1,
  );
  return {
    name: `load ${load}`,
    trainers: TRAINERS,
    engines,
    slots: SLOTS_PER_ENGINE,
    durationMs: 36_000,
    stepIntervalMs: 4_000,
    dueMs: 7_500,
    stepTimeoutMs: 12_000,
    desiredShare: 0.9,
    losses: [],
    knowsLengths,
  };
}

function measurePolicy(
  load: stepLoads.StepLoad,
  policy: stepSchedule.SchedulePolicy,
): Readonly<Record<string, number>> {
  const outcomes = SEEDS.map((seed) =>
    stepSimulations.simulateSteps(load, policy, seed)
  );
  return {
    worth: findMean(outcomes.map(({ worth }) => worth)),
    inTime: findMean(outcomes.map(({ inTime }) => inTime)),
    worstTrainer: findMean(outcomes.map(({ worstTrainer }) => worstTrainer)),
    idle: findMean(outcomes.map(({ idle }) => idle)),
  };
}

function findMean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return Math.round((sum / values.length) * 1_000) / 1_000;
}

/**
 * Compares the schedule policies on the same loads. The last row of each load
 * shows admission with known answer lengths.
 */
export function benchSteps(): void {
  const results = LOAD_RATIOS.flatMap((load) => [
    ...Object.entries(POLICIES).map(([way, policy]) => ({
      load,
      way,
      ...measurePolicy(createLoad(load, false), policy),
    })),
    {
      load,
      way: "lengths known",
      ...measurePolicy(createLoad(load, true), GROUP_POLICY),
    },
  ]);
  for (const result of results) console.log(JSON.stringify(result));
  console.log(JSON.stringify({ seeds: SEEDS.length, results }));
}
