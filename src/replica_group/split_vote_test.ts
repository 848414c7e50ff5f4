import * as chai from "chai";
import * as simulatedStores from "./simulated_stores_test.ts";

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
const FOUNDERS = ["10.2.0.5", "10.1.0.6", "10.3.0.30"];
const SPARE = "10.4.0.9";
const START_MS = 100;
const SETTLED_MS = 4_000;
/** Longest time from a restart of all boxes to a leader, in ms. */
const LEADER_MS = 12_000;

describe("voters that ask to lead at the same time", () => {
  it("come to a leader, whatever their addresses", async () => {
    const stores = new simulatedStores.SimulatedStores({
      ids: [...FOUNDERS, SPARE],
      wanted: FOUNDERS.length,
      syncMs: 10,
      entryMs: 0,
      snapshotEntries: 4_096,
      commandsPerS: 20,
      leaseMs: undefined,
    });
    try {
      stores.start(stores.listIds(), START_MS);
      await stores.run(SETTLED_MS);
      const [lost = ""] = FOUNDERS;
      const leader = stores.findLeader() ?? "";
      if (leader !== lost) stores.get(leader).getGroup()?.transferTo(lost);
      await stores.run(SETTLED_MS);
      chai.expect(stores.findLeader(), "leads before").to.equal(lost);
      stores.cutPower(stores.listIds());
      stores.get(lost).disk.wipe();
      stores.start(stores.listIds(), START_MS);
      await stores.run(LEADER_MS, () => stores.findLeader() !== undefined);
      const asked = stores.lines.filter(({ fields }) =>
        fields["role"] === "candidate"
      ).length;
      chai.expect(stores.findLeader(), `${asked} candidacies`)
        .to.not.equal(undefined);
    } finally {
      stores.close();
    }
  });
});
