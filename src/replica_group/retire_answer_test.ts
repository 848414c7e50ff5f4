import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * A box is told as emptied by the newest set in the leader's log, as soon as the
 * entry stands there: before it is synced anywhere, and before it is agreed on.
 * Whoever takes the box away on that answer takes a voter of the four that all
 * disks still name. If power is lost then, and one disk with it, two of four are
 * left, and no store leads again.
 */

const START_DELAY_MS = 300;
const TIMEOUT_MS = 60_000;

describe("the answer that a box is emptied", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  it("comes once the box is needed no more, whatever is lost next", async () => {
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
    chai.expect(isRetired, "told as emptied").to.equal(true);
    cluster.cutPower(cluster.listIds());
    cluster.removeBox(retiring);
    cluster.get(wiped).disk.wipe();
    const summary = electionChecks.describeDisks(cluster.getDisks());
    cluster.start(cluster.listIds(), START_DELAY_MS);
    await cluster.run(TIMEOUT_MS, () => cluster.findLeader() !== undefined);
    chai.expect(cluster.findLeader(), summary).to.not.equal(undefined);
  });
});
