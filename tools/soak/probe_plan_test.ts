import * as chai from "chai";
import * as probePlans from "./probe_plan.ts";

describe("plan of probes", () => {
  const confirmed = new Map([[3, 1_000], [4, 5_000], [5, 9_000]]);

  function findDue(
    sentAtMs: number,
    calmSinceMs: number,
    coreCalmSinceMs: number,
  ): number | undefined {
    return probePlans.findDueVersion(confirmed, {
      sentAtMs,
      calmSinceMs,
      coreCalmSinceMs,
    });
  }

  it("demands a version within the bound after its confirmation", () => {
    chai.expect(findDue(11_499, 0, 0)).to.equal(4);
    chai.expect(findDue(11_500, 0, 0)).to.equal(5);
    chai.expect(findDue(3_400, -9_000, -9_000)).to.equal(undefined);
  });

  it("demands nothing of a box that had a fault, and less while the core had one", () => {
    chai.expect(findDue(12_000, 8_001, 0)).to.equal(undefined);
    chai.expect(findDue(12_000, 0, 8_001)).to.equal(3);
    chai.expect(findDue(12_000, 8_000, 8_000)).to.equal(5);
  });

  it("probes a route that must be there and one that must be gone", () => {
    const version = probePlans.KEPT_ROUTES + 2;
    chai.expect(probePlans.listProbes(version)).to.deep.equal([
      { version, isServed: true },
      { version: 2, isServed: false },
    ]);
    chai.expect(probePlans.listKeptVersions(version)).to.include(version)
      .and.not.include(2);
    chai.expect(probePlans.isRouteServed(503)).to.equal(true);
    chai.expect(probePlans.isRouteServed(404)).to.equal(false);
  });
});
