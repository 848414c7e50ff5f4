import * as chai from "chai";
import * as schedules from "./schedule_fixture_test.ts";
import * as simulations from "./simulation_test.ts";

/** Highest seed by which a schedule must detect the injected bug. */
const MAX_DETECTION_SEED = 10;

describe("replicas on suspended boxes", () => {
  const SUSPENDED = { ...schedules.FAULTY, suspendChance: 5 };

  schedules.describeSchedules(
    "give authority to at most one replica at a time",
    (seed) => ({
      ...SUSPENDED,
      replicas: seed % 2 === 0 ? 3 : 5,
      seed,
    }),
  );

  it("fail a schedule whose leaders count replies from before a suspension", () => {
    const seeds = Array.from(
      { length: schedules.SCHEDULE_COUNT },
      (_, index) => index + 1,
    );
    const found = seeds.find((seed) => {
      const schedule = { ...SUSPENDED, seed, ignoresSuspension: true };
      try {
        new simulations.Simulation(schedule).run();
        return false;
      } catch (error) {
        return String(error).includes("have authority at once");
      }
    });
    chai.expect(found).to.be.at.most(MAX_DETECTION_SEED);
  });
});
