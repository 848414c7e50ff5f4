import * as chai from "chai";
import * as boxTables from "./box_table.ts";
import * as controlViews from "./control_view.ts";

const LEASE_MS = 100;

function createView(id: string) {
  return {
    id,
    address: "127.0.0.1",
    failureDomain: "d",
    callerPort: 1,
    peerPort: 2,
    isDraining: false,
  };
}

function createTable(): boxTables.BoxTable {
  const empty: boxTables.BoxTable = {
    records: new Map(),
    leaderSinceMs: 0,
    leaseMs: LEASE_MS,
  };
  const synced = ["a", "b"].reduce(
    (table, id) => boxTables.recordSync(table, createView(id), 1),
    empty,
  );
  return ["a", "b"].reduce(
    (table, id) => boxTables.grantLease(table, id, 150),
    synced,
  );
}

describe("in force", () => {
  it("needs every box with a lease to have confirmed the revision", () => {
    const updated = boxTables.recordSync(createTable(), createView("a"), 2);
    chai.expect(boxTables.isInForce(updated, 2, 200)).to.equal(false);
    chai.expect(
      boxTables.isInForce(
        boxTables.recordSync(updated, createView("b"), 2),
        2,
        200,
      ),
    ).to.equal(true);
  });

  it("holds once the lease of a silent box has surely run out", () => {
    const one = boxTables.recordSync(createTable(), createView("a"), 2);
    chai.expect(boxTables.isInForce(one, 2, 250)).to.equal(false);
    chai.expect(boxTables.isInForce(one, 2, 251)).to.equal(true);
  });

  it("waits out the leases that an earlier leader gave", () => {
    const fresh: boxTables.BoxTable = {
      records: new Map(),
      leaderSinceMs: 1_000,
      leaseMs: LEASE_MS,
    };
    chai.expect(boxTables.isInForce(fresh, 1, 1_099)).to.equal(false);
    chai.expect(boxTables.isInForce(fresh, 1, 1_100)).to.equal(true);
  });

  it("never takes a box's configuration back to an older revision", () => {
    const change = {
      revision: 5,
      accounts: [],
      templates: [],
      models: [{ model: "lm", weightVersion: 2, revision: 5 }],
    };
    const view = controlViews.applyChange(controlViews.EMPTY_VIEW, change);
    const late = {
      ...change,
      revision: 4,
      models: [{ model: "lm", weightVersion: 1, revision: 4 }],
    };
    chai.expect(controlViews.applyChange(view, late)).to.equal(view);
  });
});
