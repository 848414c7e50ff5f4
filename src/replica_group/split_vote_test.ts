import * as chai from "chai";
import * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * All boxes lost power, one of them its disk, and the two voters left asked to
 * lead at the same millisecond, again and again: each delay is the one before
 * less 1 ms, and these two addresses draw equal ones. The lines of both repeat
 * `role=preCandidate`, `role=candidate`, `voteRefused reason=votedOther` about
 * every 0.7 s, and all four stores answer `notLeader` without naming one.
 * Whoever starts 1 ms later still finds no leader for 28.6 s; 2 ms later, one
 * after 1.0 s (simulated clock, 1 ms a message).
 */

/** Founders; the last two draw the same delays. */
const INITIAL_VOTERS = ["10.2.0.5", "10.1.0.6", "10.3.0.30"];
const NON_VOTER = "10.4.0.9";
const START_DELAY_MS = 100;
const WARM_UP_MS = 4_000;
/** Longest time from a restart of all boxes to a leader, in ms. */
const ELECTION_TIMEOUT_MS = 12_000;

describe("voters that ask to lead at the same time", () => {
  it("come to a leader, whatever their addresses", async () => {
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
      chai.expect(cluster.findLeader(), "leads before").to.equal(lost);
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
