import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedStores from "./simulated_stores_test.ts";

/*
 * A voter that was gone for good stayed among the voters for as long as there
 * was load. A spare takes its place only if it holds all that is committed at
 * the very moment of a look, each 400 ms. With 100 commands a second at random
 * times and 40 ms a sync on the spare's disk, against 10 ms on the others, it did
 * so in 81 of 23,743 ms and at none of the looks, though it lacked some entries at
 * most (simulated clock). The next lost disk leaves one voter of three, and no
 * store leads again.
 */

const START_MS = 300;
const LONG_MS = 60_000;
/** Far more than the spare takes to be fed, which is some 6 s, in ms. */
const PATIENCE_MS = 30_000;
const SLOW_SYNC_MS = 40;
/** Time from the loss of a voter to the loss of power of all boxes, in ms. */
const POWER_MS = 3_000;
const SLOW_START_MS = 1_000;

describe("stores of which one voter is gone for good", () => {
  let stores: simulatedStores.SimulatedStores;

  afterEach(() => stores.close());

  /*
   * A new leader neither feeds a spare nor replaces a voter in its first 3 s,
   * and each loss of power of all boxes begins that anew: with boxes that start
   * in 1 s, and power lost 3 s after a voter was gone, the set was whole 8.4 s
   * after the loss, 6.4 s after the successor's start.
   */
  it("are whole 5.1 s after a successor's start, though power was lost meanwhile", async () => {
    stores = await simulatedCases.createStores({
      syncMs: 1,
      entries: 100,
      commandsPerS: 0,
    });
    stores.removeBox(simulatedCases.listRoles(stores).followers[0] ?? "");
    stores.addBox("e");
    stores.start(["e"], simulatedCases.SUCCESSOR_MS);
    await stores.run(POWER_MS);
    stores.cutPower(stores.listIds());
    stores.start(stores.listIds(), SLOW_START_MS);
    const leftMs = simulatedCases.SUCCESSOR_MS + simulatedCases.CATCH_UP_MS -
      POWER_MS;
    await stores.run(leftMs);
    const held = electionChecks.describeDisks(stores.getDisks());
    const fatal = electionChecks.findFatalLoss(stores.getDisks());
    chai.expect(fatal, held).to.equal(undefined);
  });

  it("take a spare with a slower disk within 30 s, while commands come", async () => {
    stores = await simulatedCases.createStores({
      syncMs: 10,
      entries: 100,
      commandsPerS: 100,
    });
    stores.get("d").disk.syncMs = SLOW_SYNC_MS;
    const { leader, followers } = simulatedCases.listRoles(stores);
    const [gone = "", next = ""] = followers;
    stores.removeBox(gone);
    stores.addBox("e");
    stores.start(["e"], simulatedCases.SUCCESSOR_MS);
    await stores.run(PATIENCE_MS);
    chai.expect(stores.findLeader(), "leads before").to.equal(leader);
    stores.cutPower(stores.listIds());
    stores.get(next).disk.wipe();
    const held = electionChecks.describeDisks(stores.getDisks());
    stores.start(stores.listIds(), START_MS);
    await stores.run(LONG_MS, () => stores.findLeader() !== undefined);
    chai.expect(stores.findLeader(), held).to.not.equal(undefined);
  });
});
