import * as chai from "chai";
import * as schedules from "./schedule_fixture_test.ts";
import * as simulations from "./simulation_test.ts";

/** Schedules in which a leader that ignores suspensions is found out. */
const MAX_DETECTION_SEED = 10;

describe("replicas whose machines are suspended", () => {
  const SUSPENDED = { ...schedules.FAULTY, suspendChance: 5 };

  it("gives authority to one replica at a time while machines are suspended", () => {
    let committed = 0;
    for (let seed = 1; seed <= schedules.SCHEDULE_COUNT; seed += 1) {
      const replicas = seed % 2 === 0 ? 3 : 5;
      const schedule = { ...SUSPENDED, replicas, seed };
      committed += new simulations.Simulation(schedule).run().committed;
    }
    chai.expect(committed).to.be.greaterThan(schedules.SCHEDULE_COUNT * 10);
  });

  it("finds a second holder where a leader holds on to answers from before", () => {
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
