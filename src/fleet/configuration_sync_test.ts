import * as chai from "chai";
import * as fixtures from "./fleet_fixture_test.ts";
import * as protocol from "./protocol.ts";

const CORE = ["c1", "c2", "c3"];
const ALL = [...CORE, "p1"];
/** Time in which a box that can reach a current core box must catch up, in ms. */
const CATCH_UP_MS = 1_000;
const NEXT = { version: 8, text: "eight" };

describe("synchronization of the configuration", () => {
  let fleet = new fixtures.FakeFleet();

  beforeEach(async () => {
    fleet = new fixtures.FakeFleet();
    for (const id of ALL) fleet.start(id, CORE.includes(id));
    await fleet.advanceBy(2_000);
    put("c1", { version: 7, text: "seven" });
    await fleet.advanceBy(2_000);
  });

  function put(id: string, stored: typeof NEXT): void {
    const box = fleet.boxes.get(id);
    box?.configuration.update(stored, "log");
    box?.gossip.publishConfiguration();
  }

  function getVersion(id: string): number | undefined {
    return fleet.boxes.get(id)?.configuration.getVersion();
  }

  for (const behind of CORE) {
    // Guards against boxes that obey an old configuration after a cut.
    it(`tells a box that missed a version while ${behind} is cut off from the core`, async () => {
      const others = CORE.filter((id) => id !== behind);
      const coreCuts = others.flatMap((id) => [
        `${id}>${behind}`,
        `${behind}>${id}`,
      ]);
      const boxCuts = CORE.flatMap((id) => [`${id}>p1`, `p1>${id}`]);
      // Each round begins at another moment between two periodic exchanges.
      for (let round = 1; round <= 6; round += 1) {
        const next = { ...NEXT, version: NEXT.version + round };
        await fleet.advanceBy(4_700);
        fleet.cutLinks = new Set([...coreCuts, ...boxCuts]);
        await fleet.advanceBy(3_000);
        for (const id of others) put(id, next);
        await fleet.advanceBy(500);
        fleet.cutLinks = new Set(coreCuts);
        await fleet.advanceBy(CATCH_UP_MS);
        chai.expect(getVersion("p1")).to.equal(next.version);
        fleet.cutLinks = new Set();
      }
    });
  }

  it("tells a box whose relay is behind of a version after a lost announcement", async () => {
    // Every relay in turn: which one the box has chosen does not matter.
    for (const [index, behind] of CORE.entries()) {
      const next = { ...NEXT, version: NEXT.version + index };
      const others = CORE.filter((id) => id !== behind);
      fleet.cutLinks = new Set(
        others.flatMap((id) => [`${id}>${behind}`, `${id}>p1`]),
      );
      for (const id of others) put(id, next);
      await fleet.advanceBy(300);
      fleet.cutLinks = new Set(others.map((id) => `${id}>${behind}`));
      await fleet.advanceBy(CATCH_UP_MS);
      chai.expect(getVersion("p1")).to.equal(next.version);
      fleet.cutLinks = new Set();
      await fleet.advanceBy(4_000);
    }
  });

  it("fetches a version from another box when the first one does not answer", async () => {
    const box = fleet.boxes.get("p1");
    for (const id of CORE) {
      fleet.boxes.get(id)?.configuration.update(NEXT, "log");
    }
    fleet.silentIds = new Set(["c2"]);
    for (const from of ["c2", "c1", "c3"]) {
      fleet.getPeer("p1", from).notify(
        protocol.METHODS.news,
        protocol.createGossipMessage(from, NEXT.version),
      );
    }
    chai.expect(box?.configuration.getVersion()).to.equal(7);
    await fleet.advanceBy(CATCH_UP_MS);
    chai.expect(box?.configuration.getVersion()).to.equal(NEXT.version);
  });

  it("adopts the configuration of a message with a part that can't be merged", async () => {
    // Another build may write records that this one does not understand.
    const message = {
      ...protocol.createGossipMessage("c2", NEXT.version),
      boxes: [undefined as never],
      configuration: NEXT,
    };
    chai.expect(() =>
      fleet.getPeer("p1", "c2").notify(protocol.METHODS.news, message)
    ).to.throw();
    chai.expect(getVersion("p1")).to.equal(NEXT.version);
  });

  it("does not fetch a version again that it can't decode", async () => {
    const box = fleet.boxes.get("p1");
    if (box === undefined) throw new Error("there is no box p1");
    box.unreadableTexts = new Set([NEXT.text]);
    const before = fleet.countCalls(protocol.METHODS.readConfiguration);
    put("c1", NEXT);
    await fleet.advanceBy(6_000);
    chai.expect(getVersion("c3")).to.equal(NEXT.version);
    chai.expect(getVersion("p1")).to.equal(7);
    const calls = fleet.countCalls(protocol.METHODS.readConfiguration) - before;
    chai.expect(calls).to.be.at.most(CORE.length);
    put("c1", { version: 9, text: "nine" });
    await fleet.advanceBy(CATCH_UP_MS);
    chai.expect(getVersion("p1")).to.equal(9);
  });
});
