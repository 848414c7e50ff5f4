import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * A voter that was gone for good stayed among the voters for as long as there
 * was load. A spare takes its place only if it holds all that is committed at
 * the very moment of a look, each 400 ms. With 100 commands a second at random
 * times and 40 ms a sync on the spare's disk, against 10 ms on the others, it did
 * so in 81 of 23,743 ms and at none of the looks, though it lacked some entries at
 * most (simulated clock). The next lost disk leaves one voter of three, and no
 * store leads again.
 */

const START_DELAY_MS = 300;
const ELECTION_TIMEOUT_MS = 60_000;
/** Far more than the spare takes to be fed, which is some 6 s, in ms. */
const REPLACEMENT_TIMEOUT_MS = 30_000;
const SLOW_SYNC_MS = 40;
/** Time from the loss of a voter to the loss of power of all boxes, in ms. */
const POWER_LOSS_DELAY_MS = 3_000;
const SLOW_START_DELAY_MS = 1_000;

describe("stores of which one voter is gone for good", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  /*
   * A new leader neither feeds a spare nor replaces a voter in its first 3 s,
   * and each loss of power of all boxes begins that anew: with boxes that start
   * in 1 s, and power lost 3 s after a voter was gone, the set was whole 8.4 s
   * after the loss, 6.4 s after the successor's start.
   */
  it("are whole 5.1 s after a successor's start, though power was lost meanwhile", async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 1,
      entries: 100,
      commandsPerS: 0,
    });
    cluster.removeBox(simulatedCases.listRoles(cluster).followers[0] ?? "");
    cluster.addBox("e");
    cluster.start(["e"], simulatedCases.REPLACEMENT_DELAY_MS);
    await cluster.run(POWER_LOSS_DELAY_MS);
    cluster.cutPower(cluster.listIds());
    cluster.start(cluster.listIds(), SLOW_START_DELAY_MS);
    const remainingMs = simulatedCases.REPLACEMENT_DELAY_MS +
      simulatedCases.CATCH_UP_MS -
      POWER_LOSS_DELAY_MS;
    await cluster.run(remainingMs);
    const summary = electionChecks.describeDisks(cluster.getDisks());
    const fatalLoss = electionChecks.findFatalLoss(cluster.getDisks());
    chai.expect(fatalLoss, summary).to.equal(undefined);
  });

  it("take a spare with a slower disk within 30 s, while commands come", async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 10,
      entries: 100,
      commandsPerS: 100,
    });
    cluster.get("d").disk.syncMs = SLOW_SYNC_MS;
    const { leader, followers } = simulatedCases.listRoles(cluster);
    const [removed = "", wiped = ""] = followers;
    cluster.removeBox(removed);
    cluster.addBox("e");
    cluster.start(["e"], simulatedCases.REPLACEMENT_DELAY_MS);
    await cluster.run(REPLACEMENT_TIMEOUT_MS);
    chai.expect(cluster.findLeader(), "leads before").to.equal(leader);
    cluster.cutPower(cluster.listIds());
    cluster.get(wiped).disk.wipe();
    const summary = electionChecks.describeDisks(cluster.getDisks());
    cluster.start(cluster.listIds(), START_DELAY_MS);
    await cluster.run(
      ELECTION_TIMEOUT_MS,
      () => cluster.findLeader() !== undefined,
    );
    chai.expect(cluster.findLeader(), summary).to.not.equal(undefined);
  });
});
