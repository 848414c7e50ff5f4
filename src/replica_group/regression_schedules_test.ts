import * as chai from "chai";
import * as fixtures from "./regression_schedules_fixture_test.ts";
import * as strictFixtures from "./strict_regression_schedules_fixture_test.ts";
import * as scheduleRunners from "./schedule_runner_test.ts";

/*
 * Schedules found by random search in which a single disk stayed necessary to
 * elect a leader after every lost box had had time to catch up.
 */

async function listViolations(
  schedules: readonly fixtures.RegressionSchedule[],
): Promise<readonly string[]> {
  const violations: string[] = [];
  for (const { name, schedule } of schedules) {
    const { violation } = await scheduleRunners.runSchedule(schedule);
    if (violation !== undefined) violations.push(`${name}: ${violation}`);
  }
  return violations;
}

describe("stores under fault schedules that once failed", () => {
  it("survive the loss of any disk 5.1 s after each process runs", async () => {
    const violations = await listViolations(fixtures.SCHEDULES);
    chai.expect(violations, violations.join("\n")).to.deep.equal([]);
  });

  it("survive the loss of any disk 5.1 s after each start is scheduled", async () => {
    const violations = await listViolations(strictFixtures.STRICT_SCHEDULES);
    chai.expect(violations, violations.join("\n")).to.deep.equal([]);
  });
});
