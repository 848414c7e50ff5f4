import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as usageBooks from "./usage_book.ts";
import * as usageTallies from "./usage_tally.ts";
import * as usageWindows from "./usage_window.ts";

const TIMES: usageWindows.WindowTimes = { windowMs: 5_000, lateMs: 10_000 };

describe("usage", () => {
  it("counts by windows of wall time", () => {
    chai.expect(usageWindows.getWindow(4_999, TIMES)).to.equal(0);
    chai.expect(usageWindows.getWindow(5_000, TIMES)).to.equal(1);
  });

  it("fixes a window 4 s after its end, long before its report is due", () => {
    chai.expect(usageWindows.listDueWindows(1, 18_999, TIMES)).to.deep.equal(
      [],
    );
    chai.expect(usageWindows.listDueWindows(1, 19_000, TIMES)).to.deep.equal(
      [2],
    );
  });

  it("fixes each window between, and leaves out what is long overdue", () => {
    chai.expect(usageWindows.listDueWindows(1, 29_500, TIMES)).to.deep.equal(
      [2, 3, 4],
    );
    const late = usageWindows.listDueWindows(1, 3_600_000, TIMES);
    chai.expect(late).to.have.length(5);
    chai.expect(late.at(-1)).to.equal(718);
  });

  it("begins with the newest ended window", () => {
    chai.expect(usageWindows.listDueWindows(undefined, 99_000, TIMES)).to.deep
      .equal([18]);
  });

  it("sums totals of boxes whatever order they come in and how often", () => {
    const totals = [
      { source: "a 1", count: 1 },
      { source: "a 1", count: 3 },
      { source: "a 2", count: 2 },
      { source: "b 1", count: 4 },
    ];
    const orders = fastCheck.shuffledSubarray(
      [...totals, ...totals],
      { minLength: 8, maxLength: 8 },
    );
    fastCheck.assert(
      fastCheck.property(orders, (order) => {
        const sum = new usageTallies.UsageTotals();
        for (const { source, count } of order) {
          sum.merge(source, { window: 7, account: "north", count });
        }
        chai.expect(sum.sum(7)).to.deep.equal({ north: 9 });
        chai.expect(sum.sum(8)).to.deep.equal({});
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  it("takes no nonsense for a total", () => {
    const sound = { window: 100, account: "north", count: 1 };
    function judge(changes: object): boolean {
      const total = { ...sound, ...changes };
      return usageTallies.isPlausible(total, 500_000, TIMES);
    }
    chai.expect(judge({})).to.equal(true);
    chai.expect(judge({ window: 101 })).to.equal(true);
    const nonsense = [
      { window: 102 },
      { window: 93 },
      { window: -1 },
      { window: 99.5 },
      { count: 0 },
      { count: -4 },
      { count: Number.NaN },
      { account: undefined },
    ];
    chai.expect(nonsense.filter(judge)).to.deep.equal([]);
  });

  it("keeps the totals of a box until they are agreed on", () => {
    const tally = new usageTallies.UsageTally();
    tally.count(7, "north");
    tally.count(7, "north");
    tally.count(8, "south");
    chai.expect(tally.hasNews()).to.equal(true);
    chai.expect(tally.take()).to.deep.equal([
      { window: 7, account: "north", count: 2 },
      { window: 8, account: "south", count: 1 },
    ]);
    chai.expect(tally.hasNews()).to.equal(false);
    chai.expect(tally.take()).to.have.length(2);
    tally.forgetThrough(7);
    chai.expect(tally.take()).to.have.length(1);
    tally.forgetThrough(8);
    chai.expect(tally.isEmpty()).to.equal(true);
  });

  it("holds to the counts that were agreed on first, over a restart too", () => {
    const book = new usageBooks.UsageBook();
    function close(window: number, count: number): void {
      const counts = { north: count };
      book.apply({ kind: "closeUsageWindow", closed: { window, counts } });
    }
    close(7, 1);
    close(7, 2);
    close(6, 3);
    close(8, 4);
    const expected = [
      { window: 7, counts: { north: 1 } },
      { window: 8, counts: { north: 4 } },
    ];
    chai.expect(book.listUnreported()).to.deep.equal(expected);
    const restored = new usageBooks.UsageBook();
    restored.restore(JSON.parse(JSON.stringify(book.save())));
    chai.expect(restored.listUnreported()).to.deep.equal(expected);
    restored.apply({ kind: "noteUsageReported", window: 7 });
    chai.expect(restored.listUnreported()).to.deep.equal([expected[1]]);
    chai.expect(restored.getLastClosed()).to.equal(8);
  });
});
