import * as chai from "chai";
import * as protocol from "./protocol.ts";
import * as syncServices from "./_sync_service.ts";

import * as fixtures from "./fleet_fixture_test.ts";

const CORE = ["c1", "c2", "c3"];
const ALL = [...CORE, "p1", "p2"];

describe("fleet gossip", () => {
  let fleet = new fixtures.FakeFleet();

  beforeEach(async () => {
    fleet = new fixtures.FakeFleet();
    for (const id of ALL) fleet.start(id, CORE.includes(id));
    await fleet.advanceBy(2_000);
  });

  it("discovers every box from the seeds", () => {
    for (const box of fleet.boxes.values()) {
      const found = box.directory.listAlive().map((record) => record.id);
      chai.expect(found.toSorted()).to.deep.equal(ALL);
    }
  });

  it("keeps every server known to all boxes, whichever box receives its heartbeats", async () => {
    for (let round = 1; round <= 10; round += 1) {
      for (const id of ALL) {
        fleet.boxes.get(id)?.handleHeartbeat(
          fixtures.createReport(`s-${id}`, round),
        );
      }
      await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listReadyServers()).to.deep.equal(
        ALL.map((id) => `s-${id}`),
      );
    }
  });

  it("propagates a draining server to all boxes before the server's call returns", () => {
    const report = fixtures.createReport("s-1", 1);
    fleet.boxes.get("p1")?.handleHeartbeat(report);
    fleet.boxes.get("p2")?.handleHeartbeat({
      ...report,
      sequence: 2,
      phase: "draining",
    });
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listReadyServers()).to.deep.equal([]);
    }
  });

  it("restores the state of restarted core boxes from the other boxes", async () => {
    for (let round = 1; round <= 6; round += 1) {
      if (round === 3) {
        for (const id of CORE) fleet.kill(id);
        for (const id of CORE) fleet.start(id, true);
      }
      fleet.boxes.get("p1")?.handleHeartbeat(
        fixtures.createReport("s-1", round),
      );
      await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listReadyServers()).to.deep.equal(["s-1"]);
    }
  });

  it("does not let a refresh hide that a server is draining", async () => {
    const report = fixtures.createReport("s-1", 1);
    fleet.boxes.get("p1")?.handleHeartbeat(report);
    await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    for (const id of CORE) fleet.kill(id);
    const draining = { ...report, phase: "draining" } as const;
    fleet.boxes.get("p1")?.handleHeartbeat({ ...draining, sequence: 2 });
    for (const id of CORE) fleet.start(id, true);
    // A box with the outdated ready report syncs with the core first.
    await fleet.advanceBy(100);
    fleet.boxes.get("p1")?.handleHeartbeat({ ...draining, sequence: 3 });
    await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listReadyServers()).to.deep.equal([]);
    }
  });

  it("prefers a restarted server process over its predecessor at every box", async () => {
    // The restarted process begins with sequence 1, below that of its
    // predecessor, and refreshes of the predecessor still arrive.
    const former = { ...fixtures.createReport("s-1", 500), born: 1_000 };
    const later = { ...fixtures.createReport("s-1", 1), born: 2_000 };
    fleet.boxes.get("p1")?.handleHeartbeat(former);
    await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    fleet.boxes.get("p2")?.handleHeartbeat(later);
    await fleet.advanceBy(100);
    for (let sequence = 501; sequence < 505; sequence += 1) {
      fleet.boxes.get("p1")?.handleHeartbeat({ ...former, sequence });
      fleet.boxes.get("c1")?.handleHeartbeat({ ...former, sequence });
      await fleet.advanceBy(400);
    }
    for (let sequence = 2; sequence < 5; sequence += 1) {
      fleet.boxes.get("p2")?.handleHeartbeat({ ...later, sequence });
      await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listReadyServers()).to.deep.equal(["s-1"]);
      chai.expect(box.servers.get("s-1")?.born).to.equal(2_000);
      chai.expect(box.servers.get("s-1")?.sequence).to.equal(4);
    }
  });

  it("ignores refreshes of a former process from a box that missed its restart", async () => {
    const former = { ...fixtures.createReport("s-1", 500), born: 1_000 };
    const later = { ...fixtures.createReport("s-1", 1), born: 2_000 };
    fleet.boxes.get("p1")?.handleHeartbeat(former);
    await fleet.advanceBy(fixtures.HEARTBEAT_MS);
    fleet.partitions = [["p1"], ["c1", "c2", "c3", "p2"]];
    fleet.boxes.get("p2")?.handleHeartbeat(later);
    await fleet.advanceBy(200);
    fleet.partitions = [];
    fleet.boxes.get("p1")?.handleHeartbeat({ ...former, sequence: 501 });
    await fleet.advanceBy(3 * fixtures.HEARTBEAT_MS);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.servers.get("s-1")?.born).to.equal(2_000);
      chai.expect(box.servers.get("s-1")?.sequence).to.equal(1);
    }
  });

  it("sends each change to a box about once, however many core boxes there are", async () => {
    const large = new fixtures.FakeFleet();
    const core = ["c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"];
    const plain = Array.from({ length: 32 }, (_, index) => `p${index + 1}`);
    for (const id of [...core, ...plain]) large.start(id, core.includes(id));
    await large.advanceBy(4_000);
    const messagesBefore = large.countDelivered();
    await large.advanceBy(1_000);
    const idleMessages = large.countDelivered() - messagesBefore;
    for (const [index, id] of plain.entries()) {
      const report = fixtures.createReport(`s-${index}`, 1);
      large.boxes.get(id)?.handleHeartbeat(report);
    }
    await large.advanceBy(1_000);
    const changeMessages = large.countDelivered() - messagesBefore -
      2 * idleMessages;
    for (const box of large.boxes.values()) {
      chai.expect(box.listReadyServers().length).to.equal(plain.length);
    }
    // 32 changes are sent to 8 core boxes each and then relayed in batches to
    // 40 boxes. If each core box sent each change to all boxes, it would take
    // 10,240 messages.
    chai.expect(changeMessages).to.be.lessThan(32 * 8 + 40 * 8);
  });

  it("merges two partitions, each with its own core boxes, once they can connect", async () => {
    const splitFleet = new fixtures.FakeFleet();
    const ids = ["c1", "c2", "p1", "c3", "c4", "p2"];
    splitFleet.partitions = [["c1", "c2", "p1"], ["c3", "c4", "p2"]];
    for (const id of ids) splitFleet.start(id, id.startsWith("c"));
    await splitFleet.advanceBy(4_000);
    splitFleet.partitions = [];
    await splitFleet.advanceBy(4_000);
    for (const box of splitFleet.boxes.values()) {
      const found = box.directory.listAlive().map((record) => record.id);
      chai.expect(found.toSorted()).to.deep.equal(ids.toSorted());
    }
  });

  it("answers a sync request with nothing when both boxes hold the same state", async () => {
    const first = fleet.boxes.get("c1");
    first?.handleHeartbeat(fixtures.createReport("s-1", 1));
    first?.configuration.update({ version: 7, text: "seven" }, "log");
    first?.gossip.publishConfiguration();
    await fleet.advanceBy(1_000);
    const requester = fleet.boxes.get("p1");
    const record = requester?.directory.get("p1");
    if (requester === undefined || record === undefined) {
      throw new Error("there is no box p1");
    }
    const syncService = new syncServices.SyncService({
      ...requester,
      getOwnRecord: () => record,
    });
    const reply = await fleet.getPeer("c1").call<protocol.SyncReply>(
      protocol.METHODS.sync,
      syncService.createRequest(),
      1_000,
    );
    chai.expect(reply.boxes).to.deep.equal([]);
    chai.expect(reply.servers).to.deep.equal([]);
    chai.expect(reply.configuration).to.equal(undefined);
  });

  it("distributes a configuration to every box, including one that starts later", async () => {
    const first = fleet.boxes.get("c1");
    first?.configuration.update({ version: 7, text: "seven" }, "log");
    first?.gossip.publishConfiguration();
    await fleet.advanceBy(200);
    fleet.start("p3", false);
    await fleet.advanceBy(1_000);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.configuration.getVersion()).to.equal(7);
    }
  });

  it("tells all boxes the crash records of a store box after a restart of the fleet", async () => {
    // Guards against boxes that send work again which crashed servers before.
    const store = fleet.start("s1", false);
    await fleet.advanceBy(1_000);
    const boxes = [...fleet.boxes.values()];
    for (const box of boxes) {
      chai.expect(box.recordSync.isComplete()).to.equal(false);
    }
    store.crashTable.merge({
      digest: "d",
      account: "",
      service: "s",
      target: "/x",
      ended: ["i-1"],
      cleared: [],
      notedAtMs: fleet.clock.getWallMs(),
    }, fleet.clock.getWallMs());
    store.recordSync.complete();
    for (let passed = 0; passed < 2_000; passed += 100) {
      await fleet.advanceBy(100);
      for (const box of boxes) {
        const { recordSync, crashTable } = box;
        chai.expect(recordSync.isComplete() && crashTable.isEmpty()).to.equal(
          false,
        );
      }
    }
    for (const { recordSync } of boxes) {
      chai.expect(recordSync.isComplete()).to.equal(true);
    }
    const late = fleet.start("p9", false);
    await fleet.advanceBy(600);
    chai.expect(late.recordSync.isComplete()).to.equal(true);
    chai.expect(late.crashTable.list().length).to.equal(1);
  });

  it("keeps a box alive at a core box that it can't reach, through the other core boxes", async () => {
    const plain = fleet.boxes.get("p1");
    const core = fleet.boxes.get("c2");
    fleet.cutLinks = new Set(["p1>c2", "c2>p1"]);
    for (let round = 1; round <= 8; round += 1) {
      plain?.handleHeartbeat(fixtures.createReport("s-1", round));
      for (let passed = 0; passed < fixtures.HEARTBEAT_MS; passed += 100) {
        await fleet.advanceBy(100);
        const alive = core?.directory.listAlive().map((box) => box.id);
        chai.expect(alive).to.include("p1");
      }
      chai.expect(core?.listReadyServers()).to.deep.equal(["s-1"]);
    }
  });

  it("reports a leaving box as leaving and a dead one as gone within two seconds", async () => {
    const leaving = fleet.boxes.get("p1");
    if (leaving === undefined) throw new Error("there is no box p1");
    leaving.isLeaving = true;
    leaving.gossip.publishSelf();
    fleet.kill("c2");
    await fleet.advanceBy(2_000);
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
