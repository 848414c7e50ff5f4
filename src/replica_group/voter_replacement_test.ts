import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * Guards against a removed voter that is never replaced. Under load a non-voter
 * with a slow disk hardly ever holds all committed entries, and still has to
 * take the voter's place.
 */

const START_DELAY_MS = 300;
const ELECTION_TIMEOUT_MS = 60_000;
/** Longest time for the replacement of the voter, in ms. */
const REPLACEMENT_TIMEOUT_MS = 30_000;
const SLOW_SYNC_MS = 40;
/** Time from the removal of a voter to the power loss of all boxes, in ms. */
const POWER_LOSS_DELAY_MS = 3_000;
const SLOW_START_DELAY_MS = 1_000;

describe("stores of which one voter is removed permanently", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  // After the power loss, the new leader must not wait its full initial delay
  // again before it replaces the voter.
  it("recover 5.1 s after the replacement starts although all lose power meanwhile", async () => {
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

  it("promote a non-voter with a slower disk within 30 s under load", async () => {
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
    chai.expect(cluster.findLeader(), "leader before the power loss").to.equal(
      leader,
    );
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
