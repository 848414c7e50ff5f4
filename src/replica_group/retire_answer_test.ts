import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedStores from "./simulated_stores_test.ts";

/*
 * A box is told as emptied by the newest set in the leader's log, as soon as the
 * entry stands there: before it is synced anywhere, and before it is agreed on.
 * Whoever takes the box away on that answer takes a voter of the four that all
 * disks still name. If power is lost then, and one disk with it, two of four are
 * left, and no store leads again.
 */

const START_MS = 300;
const LONG_MS = 60_000;

describe("the answer that a box is emptied", () => {
  let stores: simulatedStores.SimulatedStores;

  afterEach(() => stores.close());

  it("comes once the box is needed no more, whatever is lost next", async () => {
    stores = await simulatedCases.createStores({
      syncMs: 10,
      entries: 100,
      commandsPerS: 0,
    });
    const { leader, followers } = simulatedCases.listRoles(stores);
    const [retired = "", next = ""] = followers;
    await Promise.all([
      stores.get(leader).getGroup()?.propose(
        { kind: "retireBox", box: retired },
        LONG_MS,
      ),
      stores.run(1_000),
    ]);
    const isTold = await stores.run(
      LONG_MS,
      () => simulatedCases.isEmptied(stores, retired),
    );
    chai.expect(isTold, "told as emptied").to.equal(true);
    stores.cutPower(stores.listIds());
    stores.removeBox(retired);
    stores.get(next).disk.wipe();
    const held = electionChecks.describeDisks(stores.getDisks());
    stores.start(stores.listIds(), START_MS);
    await stores.run(LONG_MS, () => stores.findLeader() !== undefined);
    chai.expect(stores.findLeader(), held).to.not.equal(undefined);
  });
});
