import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/*
 * The log must tell since when a group can't bear the next lost disk, and what it
 * waits for.
 */

const START_DELAY_MS = 300;
const TIMEOUT_MS = 30_000;
const LINE_INTERVAL_MS = 1_000;

describe("stores of which one voter loses its disk", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  afterEach(() => cluster.close());

  it("log until no further loss is fatal that they are short, and of what", async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 40,
      entries: 1_650,
      commandsPerS: 200,
    });
    const { leader, followers } = simulatedCases.listRoles(cluster);
    const [wiped = ""] = followers;
    const linesBefore = cluster.logRecords.length;
    const wipedAtMs = cluster.getNowMs();
    cluster.cutPowerAndWipe(wiped);
    cluster.start([wiped], START_DELAY_MS);
    function listLines(event: string) {
      return cluster.logRecords.slice(linesBefore).filter((record) =>
        record.event === event
      );
    }
    await cluster.run(
      TIMEOUT_MS,
      () => listLines("group.whole").length > 0,
    );
    const disks = cluster.getDisks();
    chai.expect(
      electionChecks.findFatalLoss(disks),
      electionChecks.describeDisks(disks),
    ).to.equal(undefined);
    const short = listLines("group.short");
    const [whole] = listLines("group.whole");
    const [first] = short;
    chai.assert(whole !== undefined && first !== undefined);
    const waits = short.map(({ fields }) => String(fields["waitsFor"]));
    chai.expect(waits[0]).to.match(new RegExp(`^${wiped}:`));
    chai.expect(waits.join(" ")).to.match(/:learner:lag\d+/);
    chai.expect(short.map((record) => record.id)).to.deep.equal(
      short.map(() => leader),
    );
    chai.expect(first.fields["sinceMs"]).to.equal(0);
    chai.expect(first.atMs - wipedAtMs).to.be.at.most(
      START_DELAY_MS + LINE_INTERVAL_MS,
    );
    chai.expect(whole.fields["shortMs"]).to.equal(whole.atMs - first.atMs);
    for (const [index, record] of short.slice(1).entries()) {
      chai.expect(record.atMs - (short[index]?.atMs ?? 0)).to.be.at.least(
        LINE_INTERVAL_MS,
      );
    }
  });
});
