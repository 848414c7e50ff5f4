import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * A box may be reported as retired only once the voter set without it is
 * committed. Otherwise its removal and the loss of one more disk leave two of
 * four voters, and no leader can be elected.
 */

const START_DELAY_MS = 300;
const TIMEOUT_MS = 60_000;

describe("the answer that a retirement is completed", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  it("comes only once the group can lose the box and another disk", async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 10,
      entries: 100,
      commandsPerS: 0,
    });
    const { leader, followers } = simulatedCases.listRoles(cluster);
    const [retiring = "", wiped = ""] = followers;
    await Promise.all([
      cluster.get(leader).getGroup()?.propose(
        { kind: "retireBox", box: retiring },
        TIMEOUT_MS,
      ),
      cluster.run(1_000),
    ]);
    const isRetired = await cluster.run(
      TIMEOUT_MS,
      () => simulatedCases.isRetired(cluster, retiring),
    );
    chai.expect(isRetired, "retirement completed").to.equal(true);
    cluster.cutPower(cluster.listIds());
    cluster.removeBox(retiring);
    cluster.get(wiped).disk.wipe();
    const summary = electionChecks.describeDisks(cluster.getDisks());
    cluster.start(cluster.listIds(), START_DELAY_MS);
    await cluster.run(TIMEOUT_MS, () => cluster.findLeader() !== undefined);
    chai.expect(cluster.findLeader(), summary).to.not.equal(undefined);
  });
});
