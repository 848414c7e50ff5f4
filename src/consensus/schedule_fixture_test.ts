import * as chai from "chai";
import type * as simulatedNodes from "./simulated_node_test.ts";
import * as simulations from "./simulation_test.ts";

/** Schedules that each randomized test runs. */
export const SCHEDULE_COUNT = Number(
  process.env["HOISTSCALE_SCHEDULES"] ?? 400,
);

/** A schedule without faults. */
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

/** A schedule with crashes, partitions, lossy links and leadership transfers. */
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

/** Seeds that one test runs, so that a slow machine keeps its time limit. */
const SEEDS_PER_TEST = 25;
/** Least number of commits in a schedule, on average over all of them. */
const MIN_COMMITS_PER_SCHEDULE = 10;

/** Sums over the schedules of one property. */
export interface ScheduleTotals {
  committed: number;
  committedSets: number;
}

/**
 * Declares tests that run a schedule with each seed; the simulation throws when an
 * invariant is broken. A last test checks that enough was committed overall.
 *
 * @param title Title of the group of tests.
 * @param createSchedule Creates the schedule of a seed.
 * @param checkTotals Further checks of the sums over all schedules.
 */
export function describeSchedules(
  title: string,
  createSchedule: (seed: number) => simulatedNodes.ScheduleOptions,
  checkTotals: (totals: Readonly<ScheduleTotals>) => void = () => {},
): void {
  describe(title, () => {
    const totals: ScheduleTotals = { committed: 0, committedSets: 0 };
    let doneCount = 0;
    for (let first = 1; first <= SCHEDULE_COUNT; first += SEEDS_PER_TEST) {
      const last = Math.min(first + SEEDS_PER_TEST - 1, SCHEDULE_COUNT);
      it(`with seeds ${first} to ${last}`, () => {
        for (let seed = first; seed <= last; seed += 1) {
          const schedule = createSchedule(seed);
          const result = new simulations.Simulation(schedule).run();
          totals.committed += result.committed;
          totals.committedSets += result.committedSets;
          doneCount += 1;
        }
      });
    }

    it("while enough is committed", () => {
      chai.expect(doneCount).to.equal(SCHEDULE_COUNT);
      chai.expect(totals.committed).to.be.greaterThan(
        SCHEDULE_COUNT * MIN_COMMITS_PER_SCHEDULE,
      );
      checkTotals(totals);
    });
  });
}
