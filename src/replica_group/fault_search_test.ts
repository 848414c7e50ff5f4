import * as chai from "chai";
import * as faultSchedules from "./fault_schedule_test.ts";
import * as scheduleRuns from "./schedule_run_test.ts";

/*
 * Random faults on four stores, one loss to be borne at a time: once a lost box
 * has caught up, no single disk may be the only way to a leader. A longer search
 * is started by hand:
 *
 *     HOISTSCALE_SCHEDULES=500 HOISTSCALE_FIRST_SEED=1000 HOISTSCALE_FAULTS=10 \
 *       node_modules/.bin/mocha --import=tsx --timeout=0 --exit \
 *       src/replica_group/fault_search_test.ts
 */

/** Whether a search was started by hand; it shortens what it finds. */
const IS_LONG = process.env["HOISTSCALE_SCHEDULES"] !== undefined;
const SCHEDULES = readNumber("HOISTSCALE_SCHEDULES", 3);
const FIRST_SEED = readNumber("HOISTSCALE_FIRST_SEED", 1);
const FAULTS = readNumber("HOISTSCALE_FAULTS", 6);

function readNumber(name: string, usual: number): number {
  return Number(process.env[name] ?? usual);
}

/** Describes the first schedule that breaks something. */
async function findViolation(
  load: faultSchedules.Load,
): Promise<string | undefined> {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed += 1) {
    const schedule = faultSchedules.drawSchedule(seed, load, FAULTS);
    const found = await scheduleRuns.runSchedule(schedule);
    if (found.violation === undefined) continue;
    const short = IS_LONG ? await scheduleRuns.cutSchedule(schedule) : schedule;
    const outcome = await scheduleRuns.runSchedule(short);
    return [
      `seed ${seed}: ${outcome.violation}`,
      ...outcome.story,
      JSON.stringify(short),
    ].join("\n");
  }
  return undefined;
}

describe("stores under random faults", () => {
  for (const load of ["quiet", "busy", "slow"] as const) {
    it(`bear the loss of any disk, ${load}`, async () => {
      const violation = await findViolation(load);
      chai.expect(violation, violation).to.equal(undefined);
    });
  }
});
