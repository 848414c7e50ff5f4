import * as chai from "chai";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedStores from "./simulated_stores_test.ts";

/*
 * A voter that kept its disk and was away for 1.7 s needs a snapshot, as the
 * log was cut meanwhile. What follows a snapshot under way stays in the log for
 * replicas that do not count; this one counts, so that it finds the log cut beyond
 * each snapshot that it took and is sent the next one, each 1.5 to 2 s and without
 * end ("snapshotSent index=9640 ... snapshotTaken index=9100 ... snapshotSent
 * index=9983"). It answers and counts, so nobody replaces it; two of three voters
 * hold what is committed, and a box to be emptied is never told as emptied.
 */

const START_MS = 300;
const AWAY_MS = 1_700;
const LONG_MS = 20_000;
/** Entries that may be under way to a replica that is not behind. */
const NEAR_ENTRIES = 96;

describe("stores of which one voter was away and kept its disk", () => {
  let stores: simulatedStores.SimulatedStores;

  afterEach(() => stores.close());

  it("bring it up to date within 20 s, however fast the log is cut", async () => {
    stores = await simulatedCases.createStores({
      syncMs: 10,
      entries: 6_500,
      commandsPerS: 200,
      entryMs: 0.5,
      snapshotEntries: 200,
    });
    const { leader, followers } = simulatedCases.listRoles(stores);
    const [away = ""] = followers;
    stores.cutPower([away]);
    await stores.run(AWAY_MS - START_MS);
    stores.start([away], START_MS);
    function getLag(): number {
      const disks = stores.getDisks();
      return (disks.get(leader)?.lastIndex ?? 0) -
        (disks.get(away)?.lastIndex ?? 0);
    }
    await stores.run(START_MS);
    await stores.run(LONG_MS, () => getLag() <= NEAR_ENTRIES);
    chai.expect(stores.findLeader(), "leads").to.equal(leader);
    const sent = stores.lines.filter((line) =>
      line.event === "replica.snapshotSent" && line.fields["to"] === away
    );
    chai.expect(getLag(), `entries that it lacks, ${sent.length} snapshots`)
      .to.be.at.most(NEAR_ENTRIES);
  });
});
