import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * With five voters, two losses must be survivable. Guards against a voter that
 * lost its disk and catches up too slowly while other replicas are sent
 * snapshots at the same time.
 */

const IDS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const WIPED = "e";
const LATE_STARTERS = ["b", "e", "g"];
const MAX_VOTERS = 5;
const START_DELAY_MS = 300;
const LATE_START_DELAY_MS = 2_417;
const ENTRIES = 2_600;
const STARTUP_TIMEOUT_MS = 60_000;
const WARM_UP_MS = 6_236;

describe("eight stores of which one of five voters lost its disk", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  it("have five admitted replicas 5.1 s after its late start", async () => {
    cluster = new simulatedClusters.SimulatedCluster({
      ids: IDS,
      maxVoters: MAX_VOTERS,
      syncMs: 1,
      entryMs: 0,
      snapshotEntries: 200,
      commandsPerS: 1_000,
      leaseMs: undefined,
    });
    cluster.start(IDS, START_DELAY_MS);
    await cluster.run(
      STARTUP_TIMEOUT_MS,
      () => cluster.countCommitted() >= ENTRIES,
    );
    cluster.commandsPerS = 200;
    cluster.entryMs = 0.5;
    cluster.setSyncMs(40);
    await cluster.run(WARM_UP_MS);
    cluster.cutPower(IDS);
    cluster.get(WIPED).disk.wipe();
    cluster.start(
      IDS.filter((id) => !LATE_STARTERS.includes(id)),
      START_DELAY_MS,
    );
    cluster.start(LATE_STARTERS, LATE_START_DELAY_MS);
    await cluster.run(LATE_START_DELAY_MS + simulatedCases.CATCH_UP_MS);
    const disks = cluster.getDisks();
    const admitted = [...disks].filter(([, disk]) => disk.isAdmitted);
    chai.expect(admitted.length, electionChecks.describeDisks(disks))
      .to.be.at.least(MAX_VOTERS);
  });
});
