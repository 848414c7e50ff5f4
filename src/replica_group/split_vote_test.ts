import * as chai from "chai";
import * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * Guards against repeated split votes: two voters whose ids gave equal election
 * delays became candidates at the same time in every term.
 */

/** Ids for which the last two once gave the same election delays. */
const INITIAL_VOTERS = ["10.2.0.5", "10.1.0.6", "10.3.0.30"];
const NON_VOTER = "10.4.0.9";
const START_DELAY_MS = 100;
const WARM_UP_MS = 4_000;
/** Longest time from a restart of all boxes to a leader, in ms. */
const ELECTION_TIMEOUT_MS = 12_000;

describe("voters that become candidates at the same time", () => {
  it("elect a leader within 12 s", async () => {
    const cluster = new simulatedClusters.SimulatedCluster({
      ids: [...INITIAL_VOTERS, NON_VOTER],
      maxVoters: INITIAL_VOTERS.length,
      syncMs: 10,
      entryMs: 0,
      snapshotEntries: 4_096,
      commandsPerS: 20,
      leaseMs: undefined,
    });
    try {
      cluster.start(cluster.listIds(), START_DELAY_MS);
      await cluster.run(WARM_UP_MS);
      const [lost = ""] = INITIAL_VOTERS;
      const leader = cluster.findLeader() ?? "";
      if (leader !== lost) cluster.get(leader).getGroup()?.transferTo(lost);
      await cluster.run(WARM_UP_MS);
      chai.expect(cluster.findLeader(), "leader before the power loss").to
        .equal(lost);
      cluster.cutPower(cluster.listIds());
      cluster.get(lost).disk.wipe();
      cluster.start(cluster.listIds(), START_DELAY_MS);
      await cluster.run(
        ELECTION_TIMEOUT_MS,
        () => cluster.findLeader() !== undefined,
      );
      const candidacies = cluster.logRecords.filter(({ fields }) =>
        fields["role"] === "candidate"
      ).length;
      chai.expect(cluster.findLeader(), `${candidacies} candidacies`)
        .to.not.equal(undefined);
    } finally {
      cluster.close();
    }
  });
});
