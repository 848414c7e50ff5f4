import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedStores from "./simulated_stores_test.ts";

/*
 * A leader that is to be emptied plans no voters and hands its lead over to a
 * follower that holds all entries at the moment of a look, each 100 ms. While
 * commands come faster than a follower's disk syncs there is no such moment, so
 * that it leads on: it is never told as emptied, and a voter that is lost
 * meanwhile stays in the set, though a spare stands by.
 */

const RETIRE_MS = 20_000;

describe("stores whose leader is to be emptied under load", () => {
  let stores: simulatedStores.SimulatedStores;

  afterEach(() => stores.close());

  for (const syncMs of [1, 10, 40]) {
    it(`tell it as emptied within 20 s, ${syncMs} ms a sync`, async () => {
      stores = await simulatedCases.createStores({
        syncMs,
        entries: 200,
        commandsPerS: 200,
      });
      const { leader } = simulatedCases.listRoles(stores);
      void stores.get(leader).getGroup()?.propose(
        { kind: "retireBox", box: leader },
        RETIRE_MS,
      );
      await stores.run(
        RETIRE_MS,
        () => simulatedCases.isEmptied(stores, leader),
      );
      chai.expect(simulatedCases.isEmptied(stores, leader), stores.findLeader())
        .to.equal(true);
    });
  }

  it("replace a voter that is gone meanwhile", async () => {
    stores = await simulatedCases.createStores({
      syncMs: 40,
      entries: 200,
      commandsPerS: 200,
    });
    const { leader, followers } = simulatedCases.listRoles(stores);
    void stores.get(leader).getGroup()?.propose(
      { kind: "retireBox", box: leader },
      RETIRE_MS,
    );
    await stores.run(simulatedCases.CATCH_UP_MS);
    stores.removeBox(followers[0] ?? "");
    stores.addBox("e");
    stores.start(["e"], simulatedCases.SUCCESSOR_MS);
    await stores.run(simulatedCases.SUCCESSOR_MS + simulatedCases.CATCH_UP_MS);
    const held = electionChecks.describeDisks(stores.getDisks());
    const fatal = electionChecks.findFatalLoss(stores.getDisks());
    chai.expect(fatal, held).to.equal(undefined);
  });
});
