import * as chai from "chai";
import * as powerLossRunners from "./power_loss_runner_test.ts";

/*
 * Guards against an admission, a vote or a set of voters that is acted on before
 * it is synced: all boxes lose power around a change of voters or an admission,
 * each keeps some of its unsynced writes, and one disk is lost. A longer search
 * is started by hand:
 *
 *     HOISTSCALE_POWER_LOSSES=500 HOISTSCALE_FIRST_SEED=1000 \
 *       node_modules/.bin/mocha --import=tsx --timeout=0 --exit \
 *       src/replica_group/power_loss_test.ts
 */

const COUNT = Number(process.env["HOISTSCALE_POWER_LOSSES"] ?? 8);
const FIRST_SEED = Number(process.env["HOISTSCALE_FIRST_SEED"] ?? 1);

describe("stores that all lose power while voters change", () => {
  for (const cause of ["disk", "retire"] as const) {
    it(`elect a leader and keep what was committed, cause: ${cause}`, async () => {
      const violations: string[] = [];
      for (let seed = FIRST_SEED; seed < FIRST_SEED + COUNT; seed += 1) {
        const loss = powerLossRunners.drawPowerLoss(seed, cause);
        const violation = await powerLossRunners.runPowerLoss(loss);
        if (violation === undefined) continue;
        violations.push(`seed ${seed}: ${violation}\n${JSON.stringify(loss)}`);
      }
      chai.expect(violations, violations.join("\n")).to.deep.equal([]);
    });
  }
});
