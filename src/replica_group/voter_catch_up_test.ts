import * as chai from "chai";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * Guards against endless snapshots: a voter that restarts with its disk must be
 * able to catch up although the leader compacts its log all the time.
 */

const START_DELAY_MS = 300;
const DOWNTIME_MS = 1_700;
const CATCH_UP_TIMEOUT_MS = 20_000;
/** Largest lag of a replica that has caught up, in entries. */
const MAX_LAG_ENTRIES = 96;

describe("stores of which one voter restarts with its disk", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  it("bring it up to date within 20 s although the log is compacted often", async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 10,
      entries: 6_500,
      commandsPerS: 200,
      entryMs: 0.5,
      snapshotEntries: 200,
    });
    const { leader, followers } = simulatedCases.listRoles(cluster);
    const [restarted = ""] = followers;
    cluster.cutPower([restarted]);
    await cluster.run(DOWNTIME_MS - START_DELAY_MS);
    cluster.start([restarted], START_DELAY_MS);
    function getLag(): number {
      const disks = cluster.getDisks();
      return (disks.get(leader)?.lastIndex ?? 0) -
        (disks.get(restarted)?.lastIndex ?? 0);
    }
    await cluster.run(START_DELAY_MS);
    await cluster.run(CATCH_UP_TIMEOUT_MS, () => getLag() <= MAX_LAG_ENTRIES);
    chai.expect(cluster.findLeader(), "leads").to.equal(leader);
    const sent = cluster.logRecords.filter((line) =>
      line.event === "replica.snapshotSent" && line.fields["to"] === restarted
    );
    chai.expect(getLag(), `lag in entries after ${sent.length} snapshots`)
      .to.be.at.most(MAX_LAG_ENTRIES);
  });
});
