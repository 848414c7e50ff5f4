import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as usageStates from "./usage_state.ts";
import * as usageTotals from "./usage_totals.ts";
import * as usageWindows from "./usage_window.ts";

const TIMES: usageWindows.WindowTimings = {
  windowMs: 5_000,
  reportDelayMs: 10_000,
};

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
    const overdue = usageWindows.listDueWindows(1, 3_600_000, TIMES);
    chai.expect(overdue).to.have.length(5);
    chai.expect(overdue.at(-1)).to.equal(718);
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
        const sum = new usageTotals.UsageTotals();
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
    const valid = { window: 100, account: "north", count: 1 };
    function isAccepted(changes: object): boolean {
      const total = { ...valid, ...changes };
      return usageTotals.isPlausible(total, 500_000, TIMES);
    }
    chai.expect(isAccepted({})).to.equal(true);
    chai.expect(isAccepted({ window: 101 })).to.equal(true);
    const invalid = [
      { window: 102 },
      { window: 93 },
      { window: -1 },
      { window: 99.5 },
      { count: 0 },
      { count: -4 },
      { count: Number.NaN },
      { account: undefined },
    ];
    chai.expect(invalid.filter(isAccepted)).to.deep.equal([]);
  });

  it("keeps the totals of a box until they are agreed on", () => {
    const counter = new usageTotals.UsageCounter();
    counter.count(7, "north");
    counter.count(7, "north");
    counter.count(8, "south");
    chai.expect(counter.hasUnsent()).to.equal(true);
    chai.expect(counter.takeTotals()).to.deep.equal([
      { window: 7, account: "north", count: 2 },
      { window: 8, account: "south", count: 1 },
    ]);
    chai.expect(counter.hasUnsent()).to.equal(false);
    chai.expect(counter.takeTotals()).to.have.length(2);
    counter.discardThrough(7);
    chai.expect(counter.takeTotals()).to.have.length(1);
    counter.discardThrough(8);
    chai.expect(counter.isEmpty()).to.equal(true);
  });

  it("holds to the counts that were agreed on first, over a restart too", () => {
    const state = new usageStates.UsageState();
    function close(window: number, count: number): void {
      const counts = { north: count };
      state.apply({ kind: "closeUsageWindow", closed: { window, counts } });
    }
    close(7, 1);
    close(7, 2);
    close(6, 3);
    close(8, 4);
    const expected = [
      { window: 7, counts: { north: 1 } },
      { window: 8, counts: { north: 4 } },
    ];
    chai.expect(state.listUnreported()).to.deep.equal(expected);
    const restored = new usageStates.UsageState();
    restored.restore(JSON.parse(JSON.stringify(state.save())));
    chai.expect(restored.listUnreported()).to.deep.equal(expected);
    restored.apply({ kind: "noteUsageReported", window: 7 });
    chai.expect(restored.listUnreported()).to.deep.equal([expected[1]]);
    chai.expect(restored.getLastClosed()).to.equal(8);
  });
});
