import * as chai from "chai";
import * as news from "./news.ts";
import * as syncDesks from "./_sync_desk.ts";

import * as fixtures from "./fleet_fixture_test.ts";

const CORE = ["c1", "c2", "c3"];
const ALL = [...CORE, "p1", "p2"];

describe("fleet link", () => {
  let fleet = new fixtures.FakeFleet();

  beforeEach(async () => {
    fleet = new fixtures.FakeFleet();
    for (const id of ALL) fleet.start(id, CORE.includes(id));
    await fleet.extendBy(2_000);
  });

  it("finds every box from the seeds", () => {
    for (const box of fleet.boxes.values()) {
      const found = box.directory.listAlive().map((record) => record.id);
      chai.expect(found.toSorted()).to.deep.equal(ALL);
    }
  });

  it("keeps every server known everywhere, whichever box takes its heartbeats", async () => {
    for (let round = 1; round <= 10; round += 1) {
      for (const id of ALL) {
        fleet.boxes.get(id)?.takeHeartbeat(
          fixtures.createReport(`s-${id}`, round),
        );
      }
      await fleet.extendBy(fixtures.HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal(ALL.map((id) => `s-${id}`));
    }
  });

  it("tells all that a server leaves before the call of the server returns", () => {
    const report = fixtures.createReport("s-1", 1);
    fleet.boxes.get("p1")?.takeHeartbeat(report);
    fleet.boxes.get("p2")?.takeHeartbeat({
      ...report,
      sequence: 2,
      phase: "draining",
    });
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal([]);
    }
  });

  it("brings core boxes that lost everything up to date from plain boxes", async () => {
    for (let round = 1; round <= 6; round += 1) {
      if (round === 3) {
        for (const id of CORE) fleet.kill(id);
        for (const id of CORE) fleet.start(id, true);
      }
      fleet.boxes.get("p1")?.takeHeartbeat(fixtures.createReport("s-1", round));
      await fleet.extendBy(fixtures.HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal(["s-1"]);
    }
  });

  it("does not let a refresh hide that a server leaves", async () => {
    const report = fixtures.createReport("s-1", 1);
    fleet.boxes.get("p1")?.takeHeartbeat(report);
    await fleet.extendBy(fixtures.HEARTBEAT_MS);
    for (const id of CORE) fleet.kill(id);
    const draining = { ...report, phase: "draining" } as const;
    fleet.boxes.get("p1")?.takeHeartbeat({ ...draining, sequence: 2 });
    for (const id of CORE) fleet.start(id, true);
    // A box that still takes the server for ready syncs with the core first.
    await fleet.extendBy(100);
    fleet.boxes.get("p1")?.takeHeartbeat({ ...draining, sequence: 3 });
    await fleet.extendBy(fixtures.HEARTBEAT_MS);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal([]);
    }
  });

  it("lets a later start of a server win at every box, and a former one at none", async () => {
    // A server crashed after heartbeat 500 and started again under its id. Its
    // heartbeats 1, 2 and 3 were held for old at each box that knew the 500,
    // and refreshes of the former start raised the later one's sequence.
    const former = { ...fixtures.createReport("s-1", 500), born: 1_000 };
    const later = { ...fixtures.createReport("s-1", 1), born: 2_000 };
    fleet.boxes.get("p1")?.takeHeartbeat(former);
    await fleet.extendBy(fixtures.HEARTBEAT_MS);
    fleet.boxes.get("p2")?.takeHeartbeat(later);
    await fleet.extendBy(100);
    for (let sequence = 501; sequence < 505; sequence += 1) {
      fleet.boxes.get("p1")?.takeHeartbeat({ ...former, sequence });
      fleet.boxes.get("c1")?.takeHeartbeat({ ...former, sequence });
      await fleet.extendBy(400);
    }
    for (let sequence = 2; sequence < 5; sequence += 1) {
      fleet.boxes.get("p2")?.takeHeartbeat({ ...later, sequence });
      await fleet.extendBy(fixtures.HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal(["s-1"]);
      chai.expect(box.servers.get("s-1")?.born).to.equal(2_000);
      chai.expect(box.servers.get("s-1")?.sequence).to.equal(4);
    }
  });

  it("takes no refresh of a former start from a box that missed the later one", async () => {
    const former = { ...fixtures.createReport("s-1", 500), born: 1_000 };
    const later = { ...fixtures.createReport("s-1", 1), born: 2_000 };
    fleet.boxes.get("p1")?.takeHeartbeat(former);
    await fleet.extendBy(fixtures.HEARTBEAT_MS);
    fleet.groups = [["p1"], ["c1", "c2", "c3", "p2"]];
    fleet.boxes.get("p2")?.takeHeartbeat(later);
    await fleet.extendBy(200);
    fleet.groups = [];
    fleet.boxes.get("p1")?.takeHeartbeat({ ...former, sequence: 501 });
    await fleet.extendBy(3 * fixtures.HEARTBEAT_MS);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.servers.get("s-1")?.born).to.equal(2_000);
      chai.expect(box.servers.get("s-1")?.sequence).to.equal(1);
    }
  });

  it("tells each box of a change about once, however many core boxes there are", async () => {
    const many = new fixtures.FakeFleet();
    const core = ["c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"];
    const plain = Array.from({ length: 32 }, (_, index) => `p${index + 1}`);
    for (const id of [...core, ...plain]) many.start(id, core.includes(id));
    await many.extendBy(4_000);
    const startMessages = many.countDelivered();
    await many.extendBy(1_000);
    const idle = many.countDelivered() - startMessages;
    for (const [index, id] of plain.entries()) {
      const report = fixtures.createReport(`s-${index}`, 1);
      many.boxes.get(id)?.takeHeartbeat(report);
    }
    await many.extendBy(1_000);
    const changes = many.countDelivered() - startMessages - 2 * idle;
    for (const box of many.boxes.values()) {
      chai.expect(box.listIds().length).to.equal(plain.length);
    }
    // 32 changes told to 8 core boxes each, then gathered: some messages to
    // each of 40 boxes. Each core box telling all boxes would be 10,240.
    chai.expect(changes).to.be.lessThan(32 * 8 + 40 * 8);
  });

  it("joins two groups that found each other late, each with core boxes of its own", async () => {
    const late = new fixtures.FakeFleet();
    const ids = ["c1", "c2", "p1", "c3", "c4", "p2"];
    late.groups = [["c1", "c2", "p1"], ["c3", "c4", "p2"]];
    for (const id of ids) late.start(id, id.startsWith("c"));
    await late.extendBy(4_000);
    late.groups = [];
    await late.extendBy(4_000);
    for (const box of late.boxes.values()) {
      const found = box.directory.listAlive().map((record) => record.id);
      chai.expect(found.toSorted()).to.deep.equal(ids.toSorted());
    }
  });

  it("repeats nothing to a box that knows the same", async () => {
    const first = fleet.boxes.get("c1");
    first?.takeHeartbeat(fixtures.createReport("s-1", 1));
    first?.configuration.update({ version: 7, text: "seven" });
    first?.link.publishConfiguration();
    await fleet.extendBy(1_000);
    const asker = fleet.boxes.get("p1");
    const record = asker?.directory.get("p1");
    if (asker === undefined || record === undefined) {
      throw new Error("there is no box p1");
    }
    const desk = new syncDesks.SyncDesk({ ...asker, getOwn: () => record });
    const reply = await fleet.getPeer("c1").call<news.SyncReply>(
      news.METHODS.sync,
      desk.createRequest(),
      1_000,
    );
    chai.expect(reply.boxes).to.deep.equal([]);
    chai.expect(reply.servers).to.deep.equal([]);
    chai.expect(reply.configuration).to.equal(undefined);
  });

  it("brings a configuration to every box, also to one that starts late", async () => {
    const first = fleet.boxes.get("c1");
    first?.configuration.update({ version: 7, text: "seven" });
    first?.link.publishConfiguration();
    await fleet.extendBy(200);
    fleet.start("p3", false);
    await fleet.extendBy(1_000);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.configuration.getVersion()).to.equal(7);
    }
  });

  it("keeps a box known to a core box that it can't reach, through the others", async () => {
    const plain = fleet.boxes.get("p1");
    const core = fleet.boxes.get("c2");
    fleet.cutLinks = new Set(["p1>c2", "c2>p1"]);
    for (let round = 1; round <= 8; round += 1) {
      plain?.takeHeartbeat(fixtures.createReport("s-1", round));
      for (let passed = 0; passed < fixtures.HEARTBEAT_MS; passed += 100) {
        await fleet.extendBy(100);
        const alive = core?.directory.listAlive().map((box) => box.id);
        chai.expect(alive).to.include("p1");
      }
      chai.expect(core?.listIds()).to.deep.equal(["s-1"]);
    }
  });

  it("tells of a leaving box at once, and of a dead one within two seconds", async () => {
    const leaving = fleet.boxes.get("p1");
    if (leaving === undefined) throw new Error("there is no box p1");
    leaving.isLeaving = true;
    leaving.link.publishSelf();
    fleet.kill("c2");
    await fleet.extendBy(2_000);
    const [box] = [...fleet.boxes.values()].filter((other) =>
      other !== leaving
    );
    const alive = box?.directory.listAlive() ?? [];
    chai.expect(alive.find((record) => record.id === "p1")?.isLeaving).to.equal(
      true,
    );
    chai.expect(alive.some((record) => record.id === "c2")).to.equal(false);
  });
});
