import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import type * as httpClient from "../http_client/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as workDescriptions from "./work_description.ts";

const WORK: workDescriptions.WorkDescription = {
  digest: "d",
  requestId: "request-1",
  account: "north",
  service: "app",
  target: "/x",
};

describe("CrashGuard", () => {
  const clock = new clocks.FakeClock(1_000);
  let table = new crashRecords.CrashTable();
  let servers = new registry.ServerRegistry(clock, 1_000_000);
  let published: crashRecords.CrashRecord[] = [];
  let portState: httpClient.PortState = "refused";
  let guard = guardFixtures.createCrashGuard(clock);
  const [first, second] = ["i-1", "i-2"].map((id) =>
    registry.createRegisteredServer(
      serverFixtures.createServer(id, { service: "app" }),
    )
  );

  beforeEach(() => {
    table = new crashRecords.CrashTable();
    servers = new registry.ServerRegistry(clock, 1_000_000);
    published = [];
    portState = "refused";
    guard = guardFixtures.createCrashGuard(clock, {
      table,
      servers,
      publish: (record) => published.push(record),
      findPortState: () => Promise.resolve(portState),
    });
    for (const server of [first, second]) servers.merge(server!);
  });

  function decideRun(): crashRecords.RunDecision["kind"] {
    return guard.decideRun(() => "d").kind;
  }

  it("publishes a crash and excludes the server from selection", async () => {
    await guard.recordConnectionLoss(first!, WORK);
    chai.expect(decideRun()).to.equal("suspect");
    chai.expect(published.map(({ ended }) => ended)).to.deep.equal([["i-1"]]);
    chai.expect(servers.listReady("app").map(({ id }) => id)).to.deep.equal([
      "i-2",
    ]);
  });

  for (const state of ["open", "silent"] as const) {
    it(`records no crash when the server's port is ${state}`, async () => {
      portState = state;
      await guard.recordConnectionLoss(first!, WORK);
      chai.expect(decideRun()).to.equal("free");
      chai.expect(published).to.deep.equal([]);
      chai.expect(servers.listReady("app").length).to.equal(2);
    });
  }

  it("counts a crashed server once per piece of work", async () => {
    await guard.recordConnectionLoss(first!, WORK);
    await guard.recordConnectionLoss(first!, {
      ...WORK,
      requestId: "request-2",
    });
    chai.expect(crashRecords.countConsecutiveCrashes(table.get("d"))).to.equal(
      1,
    );
    chai.expect(published.length).to.equal(1);
  });

  it("counts a crash at the address of a server that had crashed before the run", () => {
    guard.recordCrash(first!, WORK);
    const crash = guard.createCrashKey(first!, () => "d");
    for (let copy = 0; copy < 2; copy += 1) {
      guard.recordCrash(first!, WORK, crash);
    }
    chai.expect(crashRecords.countConsecutiveCrashes(table.get("d"))).to.equal(
      2,
    );
  });

  it("excludes a crashed server again that another box saw crash twice", () => {
    guard.recordCrash(first!, WORK);
    const crash = guard.createCrashKey(first!, () => "d");
    clock.advance(10_000);
    servers.merge(serverFixtures.createServer("i-1", {
      service: "app",
      sequence: 1_000,
    }));
    chai.expect(servers.listReady("app")).to.have.length(2);
    const [record] = table.list();
    guard.mergeRemoteRecord({ ...record!, ended: ["i-1", crash] });
    chai.expect(servers.listReady("app").map(({ id }) => id)).to.deep.equal([
      "i-2",
    ]);
  });

  it("clears and publishes work that ran without a crash", () => {
    guard.recordCrash(first!, WORK);
    guard.recordSuccess(WORK);
    chai.expect(decideRun()).to.equal("free");
    chai.expect(published.at(-1)?.cleared).to.deep.equal(["i-1"]);
    guard.recordCrash(second!, WORK);
    chai.expect(decideRun()).to.equal("suspect");
  });

  it("excludes a server whose crash another box detected", () => {
    const { digest, account, service, target } = WORK;
    const record = { digest, account, service, target };
    chai.expect(guard.mergeRemoteRecord({
      ...record,
      ended: ["i-1"],
      cleared: [],
      notedAtMs: 1_000,
    })).to.equal(true);
    chai.expect(servers.listReady("app").map(({ id }) => id)).to.deep.equal([
      "i-2",
    ]);
  });

  it("computes no digest while the table is empty", () => {
    guard.decideRun(() => {
      throw new Error("a digest was computed");
    });
    guard.recordCrash(first!, WORK);
    chai.expect(() =>
      guard.decideRun(() => {
        throw new Error("a digest was computed");
      })
    ).to.throw();
  });
});
