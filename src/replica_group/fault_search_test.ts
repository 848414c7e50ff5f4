import * as chai from "chai";
import * as faultSchedules from "./fault_schedule_test.ts";
import * as scheduleRunners from "./schedule_runner_test.ts";

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
const IS_MANUAL_SEARCH = process.env["HOISTSCALE_SCHEDULES"] !== undefined;
const SCHEDULE_COUNT = readNumber("HOISTSCALE_SCHEDULES", 3);
const FIRST_SEED = readNumber("HOISTSCALE_FIRST_SEED", 1);
const FAULT_COUNT = readNumber("HOISTSCALE_FAULTS", 6);

function readNumber(name: string, defaultValue: number): number {
  return Number(process.env[name] ?? defaultValue);
}

/** Describes the first schedule that breaks something. */
async function findViolation(
  load: faultSchedules.Load,
): Promise<string | undefined> {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT; seed += 1) {
    const schedule = faultSchedules.drawSchedule(seed, load, FAULT_COUNT);
    const firstOutcome = await scheduleRunners.runSchedule(schedule);
    if (firstOutcome.violation === undefined) continue;
    const trimmed = IS_MANUAL_SEARCH
      ? await scheduleRunners.trimSchedule(schedule)
      : schedule;
    const outcome = await scheduleRunners.runSchedule(trimmed);
    return [
      `seed ${seed}: ${outcome.violation}`,
      ...outcome.events,
      JSON.stringify(trimmed),
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
