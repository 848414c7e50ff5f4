import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as crashRecords from "./crash_record.ts";
import * as crashTables from "./crash_table.ts";
import * as runDecisions from "./decide_run.ts";
import * as workDigests from "./work_digest.ts";

const RUNS = 200;
const SEED = 11;
const DAY_MS = 24 * 60 * 60 * 1_000;

function createRecord(
  ended: readonly string[],
  changes: Partial<crashRecords.CrashRecord> = {},
): crashRecords.CrashRecord {
  return {
    digest: "d",
    account: "a",
    service: "app",
    target: "/x",
    ended,
    cleared: [],
    notedAtMs: 0,
    ...changes,
  };
}

const RECORDS = fastCheck.tuple(
  fastCheck.uniqueArray(fastCheck.integer({ min: 0, max: 30 })),
  fastCheck.uniqueArray(fastCheck.integer({ min: 0, max: 30 })),
).map(([ended, cleared]) => {
  const names = ended.map((id) => `i-${id}`).toSorted();
  const known = cleared.map((id) => `i-${id}`).filter((id) =>
    names.includes(id)
  ).toSorted();
  return createRecord(names, { cleared: known });
});

describe("crash records", () => {
  it("merge to the same result in any order and when repeated", () => {
    fastCheck.assert(
      fastCheck.property(RECORDS, RECORDS, RECORDS, (a, b, c) => {
        const { mergeRecords } = crashRecords;
        const left = mergeRecords(mergeRecords(a, b), c);
        const right = mergeRecords(a, mergeRecords(c, b));
        chai.expect(mergeRecords(left, a)).to.deep.equal(left);
        chai.expect(mergeRecords(left, right)).to.deep.equal(
          mergeRecords(right, left),
        );
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it("count only the crashes that no successful run cleared", () => {
    const record = createRecord(["i-1", "i-2"], { cleared: ["i-1"] });
    chai.expect(crashRecords.countConsecutiveCrashes(record)).to.equal(1);
    chai.expect(crashRecords.countConsecutiveCrashes(undefined)).to.equal(0);
  });
});

describe("crash keys", () => {
  it("equal the lifetime until the record holds it", () => {
    const { createCrashKey } = crashRecords;
    chai.expect(createCrashKey(undefined, "i-1 5")).to.equal("i-1 5");
    chai.expect(createCrashKey(createRecord(["i-2"]), "i-1 5")).to.equal(
      "i-1 5",
    );
  });

  it("differ for each crash at the address of a crashed server", () => {
    const keys: string[] = [];
    for (let crash = 0; crash < 3; crash += 1) {
      keys.push(crashRecords.createCrashKey(createRecord(keys), "i-1 5"));
    }
    chai.expect(new Set(keys).size).to.equal(3);
    for (const key of keys) {
      chai.expect(crashRecords.getCrashedLifetime(key)).to.equal("i-1 5");
    }
  });
});

describe("work digest", () => {
  const work: workDigests.Work = {
    sender: { kind: "unasked" },
    method: "POST",
    host: "a.example",
    target: "/x?y=1",
    body: Buffer.from("body"),
  };

  it("is equal for equal work", () => {
    chai.expect(workDigests.computeWorkDigest({ ...work })).to.equal(
      workDigests.computeWorkDigest(work),
    );
  });

  const others: Readonly<Record<string, Partial<workDigests.Work>>> = {
    "another body": { body: Buffer.from("bodY") },
    "another path": { target: "/x?y=2" },
    "another method": { method: "GET" },
    "another host": { host: "b.example" },
    "an anonymous sender": { sender: { kind: "anonymous" } },
    "a client account": { sender: { kind: "account", name: "n", priority: 1 } },
  };
  for (const [name, changes] of Object.entries(others)) {
    it(`differs for ${name}`, () => {
      chai.expect(workDigests.computeWorkDigest({ ...work, ...changes })).not
        .to.equal(workDigests.computeWorkDigest(work));
    });
  }
});

describe("run decisions", () => {
  it("allow a run after one crash, after a pause for two, and not after three", () => {
    const two = createRecord(["i-1", "i-2"]);
    chai.expect(runDecisions.decideRun(undefined, 0).kind).to.equal("free");
    chai.expect(runDecisions.decideRun(createRecord(["i-1"]), 0).kind).to.equal(
      "suspect",
    );
    chai.expect(runDecisions.decideRun(two, 1_000)).to.deep.equal({
      kind: "heldBack",
      ended: 2,
      returnMs: 4_000,
    });
    chai.expect(runDecisions.decideRun(two, 5_000).kind).to.equal("suspect");
    const three = createRecord(["i-1", "i-2", "i-3"]);
    chai.expect(runDecisions.decideRun(three, DAY_MS).kind).to.equal(
      "heldBack",
    );
  });

  it("allow work whose crashes were cleared", () => {
    const record = createRecord(["i-1", "i-2"], { cleared: ["i-1", "i-2"] });
    chai.expect(runDecisions.decideRun(record, 0).kind).to.equal("free");
  });
});

describe("crash table", () => {
  it("reports whether a merge added information", () => {
    const table = new crashTables.CrashTable();
    chai.expect(table.merge(createRecord(["i-1"]), 0)).to.equal(true);
    chai.expect(table.merge(createRecord(["i-1"]), 0)).to.equal(false);
    chai.expect(table.merge(createRecord(["i-2"]), 0)).to.equal(true);
    chai.expect(table.get("d")?.ended).to.deep.equal(["i-1", "i-2"]);
  });

  it("has the same content hash whatever the order of merges", () => {
    const [left, right] = [
      new crashTables.CrashTable(),
      new crashTables.CrashTable(),
    ];
    left.merge(createRecord(["i-1"]), 0);
    left.merge(createRecord(["i-2"], { digest: "e" }), 0);
    right.merge(createRecord(["i-2"], { digest: "e" }), 0);
    right.merge(createRecord(["i-1"]), 0);
    chai.expect(left.getContentHash()).to.equal(right.getContentHash());
    right.merge(createRecord(["i-9"]), 0);
    chai.expect(left.getContentHash()).not.to.equal(right.getContentHash());
  });

  it("keeps a record for a day and a cleared one for a minute", () => {
    const table = new crashTables.CrashTable();
    table.merge(createRecord(["i-1"]), 0);
    const cleared = { digest: "e", cleared: ["i-1"] };
    table.merge(createRecord(["i-1"], cleared), 0);
    table.removeExpired(60_001);
    chai.expect(table.list().map(({ digest }) => digest)).to.deep.equal(["d"]);
    table.removeExpired(DAY_MS + 1);
    chai.expect(table.isEmpty()).to.equal(true);
    chai.expect(table.merge(createRecord(["i-1"]), DAY_MS + 1)).to.equal(false);
  });

  it("limits times from a clock that is far ahead", () => {
    const table = new crashTables.CrashTable();
    table.merge(createRecord(["i-1"], { notedAtMs: 10 * DAY_MS }), 0);
    table.removeExpired(DAY_MS + 60_001);
    chai.expect(table.isEmpty()).to.equal(true);
  });

  it("does not evict records of another account", () => {
    const table = new crashTables.CrashTable();
    table.merge(createRecord(["i-1"], { digest: "own", account: "b" }), 0);
    for (let index = 0; index < 600; index += 1) {
      const digest = `d-${index}`;
      table.merge(createRecord(["i-1"], { digest, notedAtMs: index }), index);
    }
    chai.expect(table.get("own")).not.to.equal(undefined);
    chai.expect(table.list().length).to.equal(513);
    chai.expect(table.get("d-0")).to.equal(undefined);
  });

  it("evicts the record with the fewest crashes first", () => {
    const table = new crashTables.CrashTable();
    table.merge(createRecord(["i-1", "i-2", "i-3"], { digest: "bad" }), 0);
    for (let index = 0; index < 600; index += 1) {
      table.merge(createRecord(["i-1"], { digest: `d-${index}` }), 0);
    }
    chai.expect(crashRecords.countConsecutiveCrashes(table.get("bad"))).to
      .equal(3);
  });
});
