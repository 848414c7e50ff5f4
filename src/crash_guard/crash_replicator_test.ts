import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as results from "../results/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as crashReplicators from "./crash_replicator.ts";
import * as recordSyncs from "./record_sync.ts";

const RECORD: crashRecords.CrashRecord = {
  digest: "d",
  account: "",
  service: "app",
  target: "/x",
  ended: ["i-1", "i-2", "i-3"],
  cleared: [],
  notedAtMs: 1_000,
};

describe("CrashReplicator", () => {
  let clock = new clocks.FakeClock(2_000);
  let table = new crashRecords.CrashTable();
  let recordSync = new recordSyncs.RecordSync(clock, { write: () => {} });
  let machine = new submissions.SubmissionStateMachine(() => {});
  let published: crashRecords.CrashRecord[] = [];
  let saved: readonly crashRecords.CrashRecord[] = [];
  let appliedIndex = 0;
  let replicator: crashReplicators.CrashReplicator;

  beforeEach(() => {
    clock = new clocks.FakeClock(2_000);
    table = new crashRecords.CrashTable();
    recordSync = new recordSyncs.RecordSync(clock, { write: () => {} });
    machine = new submissions.SubmissionStateMachine(() => {});
    published = [];
    saved = [];
    appliedIndex = 0;
    replicator = new crashReplicators.CrashReplicator({
      clock,
      table,
      recordSync,
      machine,
      guard: guardFixtures.createCrashGuard(clock, { table }),
      recordFile: {
        load: () => saved,
        save: (changed) => {
          saved = changed.list();
          return Promise.resolve();
        },
      },
      grants: { updateTerm: () => {} },
      publish: (record) => published.push(record),
      group: {
        hasAuthority: () => false,
        getAppliedIndex: () => appliedIndex,
        propose: () =>
          Promise.resolve(results.createFailure("notLeader", "not asked for")),
      },
    });
  });

  afterEach(() => replicator.stop());

  it("uses and publishes records of a log that no leader has committed yet", () => {
    // Guards against work that crashes servers again while the store boxes elect
    // a leader after a restart.
    replicator.mergeUncommitted([
      null,
      { kind: "retireBox", box: "b" },
      { kind: "keepCrashes", records: [RECORD], nowMs: 1_000 },
    ]);
    chai.expect(table.list()).to.deep.equal([RECORD]);
    chai.expect(published).to.deep.equal([RECORD]);
    chai.expect(recordSync.isComplete()).to.equal(true);
    chai.expect(machine.getCrashes().isEmpty()).to.equal(true);
  });

  it("keeps records that no leader has committed for the next process", () => {
    table.merge(RECORD, clock.getWallMs());
    replicator.start();
    replicator.stop();
    chai.expect(saved).to.deep.equal([RECORD]);
    table.restore([]);
    replicator.mergeUncommitted([]);
    chai.expect(table.list()).to.deep.equal([RECORD]);
    chai.expect(published).to.deep.equal([RECORD]);
  });

  it("writes nothing before the data folder was opened", async () => {
    table.merge(RECORD, clock.getWallMs());
    await replicator.stop();
    chai.expect(saved).to.deep.equal([]);
  });

  it("knows the records once it has applied the log, and not before", () => {
    replicator.mergeUncommitted([]);
    replicator.start();
    chai.expect(recordSync.isComplete()).to.equal(false);
    machine.apply({ kind: "keepCrashes", records: [RECORD], nowMs: 1_000 });
    appliedIndex = 1;
    clock.advance(100);
    chai.expect(recordSync.isComplete()).to.equal(true);
    chai.expect(table.list()).to.deep.equal([RECORD]);
  });
});
