import * as chai from "chai";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import * as simulatedStores from "./simulated_stores_test.ts";

/*
 * Eight stores with five voters, two losses to be borne. One voter lost its disk
 * while all boxes lost power; it and another voter were back after 2.4 s. Both
 * and two spares were sent snapshots at the same time, and 5.1 s after its start
 * the emptied one lacked 816 entries: "e NOT ADMITTED 3.4254" against "a admitted
 * 3.5070".
 */

const IDS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const EMPTIED = "e";
const LATE = ["b", "e", "g"];
const WANTED = 5;
const START_MS = 300;
const LATE_MS = 2_417;
const ENTRIES = 2_600;
const FOUNDED_MS = 60_000;
const SETTLED_MS = 6_236;

describe("eight stores of which one of five voters lost its disk", () => {
  let stores: simulatedStores.SimulatedStores;

  afterEach(() => stores.close());

  it("are whole 5.1 s after its start, though it comes late after a restart of all", async () => {
    stores = new simulatedStores.SimulatedStores({
      ids: IDS,
      wanted: WANTED,
      syncMs: 1,
      entryMs: 0,
      snapshotEntries: 200,
      commandsPerS: 1_000,
      leaseMs: undefined,
    });
    stores.start(IDS, START_MS);
    await stores.run(FOUNDED_MS, () => stores.countCommitted() >= ENTRIES);
    stores.commandsPerS = 200;
    stores.entryMs = 0.5;
    stores.setSync(40);
    await stores.run(SETTLED_MS);
    stores.cutPower(IDS);
    stores.get(EMPTIED).disk.wipe();
    stores.start(IDS.filter((id) => !LATE.includes(id)), START_MS);
    stores.start(LATE, LATE_MS);
    await stores.run(LATE_MS + simulatedCases.CATCH_UP_MS);
    const disks = stores.getDisks();
    const admitted = [...disks].filter(([, disk]) => disk.isAdmitted);
    chai.expect(admitted.length, electionChecks.describeDisks(disks))
      .to.be.at.least(WANTED);
  });
});
