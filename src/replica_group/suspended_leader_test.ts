import * as chai from "chai";
import * as cases from "./simulated_cases_test.ts";
import type * as simulatedStores from "./simulated_stores_test.ts";

const SUSPENDED_MS = 3_000;
const SETTLED_MS = 5_000;
/** Longest time for which the lease of a leader lasts, in ms. */
const LEASE_MS = 1_000;

// A machine that is suspended does not count that time: its monotonic clock
// stands. A leader that woke after 3 s still held itself for the leader, for as
// long as its last answers seemed fresh, while the others had elected another one.
// The first code to run may answer a call that waited in a socket.
describe("a store whose machine is suspended", () => {
  let stores: simulatedStores.SimulatedStores;

  beforeEach(async () => {
    stores = await cases.createStores({
      syncMs: 1,
      entries: 20,
      commandsPerS: 20,
      leaseMs: 300,
    });
  });

  afterEach(() => stores.close());

  function suspend(id: string): void {
    stores.get(id).getProcess()?.suspend();
  }

  function wake(id: string): void {
    stores.get(id).getProcess()?.wake();
  }

  it("has no authority when it wakes, before it has heard of anything", async () => {
    const { leader } = cases.listRoles(stores);
    chai.expect(stores.get(leader).getGroup()?.hasAuthority()).to.equal(true);
    suspend(leader);
    await stores.run(SUSPENDED_MS);
    const next = stores.findLeader();
    chai.expect(next).not.to.equal(undefined);
    chai.expect(next).not.to.equal(leader);
    chai.expect(stores.get(leader).getGroup()?.hasAuthority()).to.equal(false);
    wake(leader);
    await stores.run(SETTLED_MS);
    chai.expect(stores.findLeader()).to.be.oneOf([next, leader]);
  });

  it("leads on after a short suspension, once its voters have answered again", async () => {
    const { leader } = cases.listRoles(stores);
    const term = stores.get(leader).getGroup()?.getTerm();
    suspend(leader);
    await stores.run(200);
    chai.expect(stores.get(leader).getGroup()?.hasAuthority()).to.equal(false);
    wake(leader);
    await stores.run(LEASE_MS);
    chai.expect(stores.findLeader()).to.equal(leader);
    chai.expect(stores.get(leader).getGroup()?.getTerm()).to.equal(term);
  });

  it("leads on when its time of day was set forward", async () => {
    const { leader } = cases.listRoles(stores);
    const term = stores.get(leader).getGroup()?.getTerm();
    stores.get(leader).wallOffsetMs += 60_000;
    await stores.run(LEASE_MS);
    chai.expect(stores.findLeader()).to.equal(leader);
    chai.expect(stores.get(leader).getGroup()?.getTerm()).to.equal(term);
  });

  it("commits again after half of the stores were suspended at once", async () => {
    const { leader, followers } = cases.listRoles(stores);
    const asleep = [leader, followers[0] ?? ""];
    for (const id of asleep) suspend(id);
    await stores.run(SUSPENDED_MS);
    for (const id of asleep) wake(id);
    await stores.run(SETTLED_MS);
    const before = stores.countCommitted();
    await stores.run(SETTLED_MS);
    chai.expect(stores.countCommitted()).to.be.greaterThan(before + 50);
  });
});
