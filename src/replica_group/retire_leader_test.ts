import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * A leader that is to be emptied plans no voters and hands its lead over to a
 * follower that holds all entries at the moment of a look, each 100 ms. While
 * commands come faster than a follower's disk syncs there is no such moment, so
 * that it leads on: it is never told as emptied, and a voter that is lost
 * meanwhile stays in the set, though a spare stands by.
 */

const RETIRE_TIMEOUT_MS = 20_000;

describe("stores whose leader is to be emptied under load", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  for (const syncMs of [1, 10, 40]) {
    it(`tell it as emptied within 20 s, ${syncMs} ms a sync`, async () => {
      cluster = await simulatedCases.createCluster({
        syncMs,
        entries: 200,
        commandsPerS: 200,
      });
      const { leader } = simulatedCases.listRoles(cluster);
      void cluster.get(leader).getGroup()?.propose(
        { kind: "retireBox", box: leader },
        RETIRE_TIMEOUT_MS,
      );
      await cluster.run(
        RETIRE_TIMEOUT_MS,
        () => simulatedCases.isRetired(cluster, leader),
      );
      chai.expect(
        simulatedCases.isRetired(cluster, leader),
        cluster.findLeader(),
      )
        .to.equal(true);
    });
  }

  it("replace a voter that is gone meanwhile", async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 40,
      entries: 200,
      commandsPerS: 200,
    });
    const { leader, followers } = simulatedCases.listRoles(cluster);
    void cluster.get(leader).getGroup()?.propose(
      { kind: "retireBox", box: leader },
      RETIRE_TIMEOUT_MS,
    );
    await cluster.run(simulatedCases.CATCH_UP_MS);
    cluster.removeBox(followers[0] ?? "");
    cluster.addBox("e");
    cluster.start(["e"], simulatedCases.REPLACEMENT_DELAY_MS);
    await cluster.run(
      simulatedCases.REPLACEMENT_DELAY_MS + simulatedCases.CATCH_UP_MS,
    );
    const summary = electionChecks.describeDisks(cluster.getDisks());
    const fatalLoss = electionChecks.findFatalLoss(cluster.getDisks());
    chai.expect(fatalLoss, summary).to.equal(undefined);
  });
});
