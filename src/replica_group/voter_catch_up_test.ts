import * as chai from "chai";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * A voter that kept its disk and was away for 1.7 s needs a snapshot, as the
 * log was cut meanwhile. What follows a snapshot under way stays in the log for
 * replicas that do not count; this one counts, so that it finds the log cut beyond
 * each snapshot that it took and is sent the next one, each 1.5 to 2 s and without
 * end ("snapshotSent index=9640 ... snapshotTaken index=9100 ... snapshotSent
 * index=9983"). It answers and counts, so nobody replaces it; two of three voters
 * hold what is committed, and a box to be emptied is never told as emptied.
 */

const START_DELAY_MS = 300;
const DOWNTIME_MS = 1_700;
const CATCH_UP_TIMEOUT_MS = 20_000;
/** Entries that may be under way to a replica that is not behind. */
const MAX_LAG_ENTRIES = 96;

describe("stores of which one voter was away and kept its disk", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  it("bring it up to date within 20 s, however fast the log is cut", async () => {
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
    chai.expect(getLag(), `entries that it lacks, ${sent.length} snapshots`)
      .to.be.at.most(MAX_LAG_ENTRIES);
  });
});
