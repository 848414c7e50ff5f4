import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as crashRecords from "./crash_record.ts";
import * as crashTables from "./crash_table.ts";
import * as decideRun from "./decide_run.ts";
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

describe("records of work that ends servers", () => {
  it("merge to the same in any order, however often", () => {
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

  it("count what ended since a run ended well", () => {
    const record = createRecord(["i-1", "i-2"], { cleared: ["i-1"] });
    chai.expect(crashRecords.countConsecutiveCrashes(record)).to.equal(1);
    chai.expect(crashRecords.countConsecutiveCrashes(undefined)).to.equal(0);
  });
});

describe("the digest of a piece of work", () => {
  const work: workDigests.Work = {
    sender: { kind: "unasked" },
    method: "POST",
    host: "a.example",
    target: "/x?y=1",
    body: Buffer.from("body"),
  };

  it("is the same for the same work", () => {
    chai.expect(workDigests.computeWorkDigest({ ...work })).to.equal(
      workDigests.computeWorkDigest(work),
    );
  });

  const others: Readonly<Record<string, Partial<workDigests.Work>>> = {
    "another body": { body: Buffer.from("bodY") },
    "another path": { target: "/x?y=2" },
    "another method": { method: "GET" },
    "another host": { host: "b.example" },
    "no account asked for": { sender: { kind: "anonymous" } },
    "an account": { sender: { kind: "account", name: "n", priority: 1 } },
  };
  for (const [name, changes] of Object.entries(others)) {
    it(`is another one with ${name}`, () => {
      chai.expect(workDigests.computeWorkDigest({ ...work, ...changes })).not
        .to.equal(workDigests.computeWorkDigest(work));
    });
  }
});

describe("judging work by what ended under it", () => {
  it("lets it go on after one server, after a pause after two, never after three", () => {
    const two = createRecord(["i-1", "i-2"]);
    chai.expect(decideRun.decideRun(undefined, 0).kind).to.equal("free");
    chai.expect(decideRun.decideRun(createRecord(["i-1"]), 0).kind).to.equal(
      "suspect",
    );
    chai.expect(decideRun.decideRun(two, 1_000)).to.deep.equal({
      kind: "heldBack",
      ended: 2,
      returnMs: 4_000,
    });
    chai.expect(decideRun.decideRun(two, 5_000).kind).to.equal("suspect");
    const three = createRecord(["i-1", "i-2", "i-3"]);
    chai.expect(decideRun.decideRun(three, DAY_MS).kind).to.equal("heldBack");
  });

  it("frees work that ended well once", () => {
    const record = createRecord(["i-1", "i-2"], { cleared: ["i-1", "i-2"] });
    chai.expect(decideRun.decideRun(record, 0).kind).to.equal("free");
  });
});

describe("the table of work that ends servers", () => {
  it("says what was news", () => {
    const table = new crashTables.CrashTable();
    chai.expect(table.merge(createRecord(["i-1"]), 0)).to.equal(true);
    chai.expect(table.merge(createRecord(["i-1"]), 0)).to.equal(false);
    chai.expect(table.merge(createRecord(["i-2"]), 0)).to.equal(true);
    chai.expect(table.get("d")?.ended).to.deep.equal(["i-1", "i-2"]);
  });

  it("describes the same content alike, whatever came first", () => {
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

  it("keeps work for a day, cleared work for a minute", () => {
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

  it("does not believe a clock that is far ahead", () => {
    const table = new crashTables.CrashTable();
    table.merge(createRecord(["i-1"], { notedAtMs: 10 * DAY_MS }), 0);
    table.removeExpired(DAY_MS + 60_001);
    chai.expect(table.isEmpty()).to.equal(true);
  });

  it("lets no account push out the work of another one", () => {
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

  it("drops work with the fewest servers first", () => {
    const table = new crashTables.CrashTable();
    table.merge(createRecord(["i-1", "i-2", "i-3"], { digest: "bad" }), 0);
    for (let index = 0; index < 600; index += 1) {
      table.merge(createRecord(["i-1"], { digest: `d-${index}` }), 0);
    }
    chai.expect(crashRecords.countConsecutiveCrashes(table.get("bad"))).to
      .equal(3);
  });
});
