import * as chai from "chai";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

const SUSPENSION_MS = 3_000;
const SETTLED_MS = 5_000;
/** Longest time for which the lease of a leader lasts, in ms. */
const LEASE_MS = 1_000;

// A machine that is suspended does not count that time: its monotonic clock
// stands. A leader that woke after 3 s still held itself for the leader, for as
// long as its last answers seemed fresh, while the others had elected another one.
// The first code to run may answer a call that waited in a socket.
describe("a store whose machine is suspended", () => {
  let cluster: simulatedClusters.SimulatedCluster;

  beforeEach(async () => {
    cluster = await simulatedCases.createCluster({
      syncMs: 1,
      entries: 20,
      commandsPerS: 20,
      leaseMs: 300,
    });
  });

  afterEach(() => cluster.close());

  function suspend(id: string): void {
    cluster.get(id).getProcess()?.suspend();
  }

  function wake(id: string): void {
    cluster.get(id).getProcess()?.wake();
  }

  it("has no authority when it wakes, before it has heard of anything", async () => {
    const { leader } = simulatedCases.listRoles(cluster);
    chai.expect(cluster.get(leader).getGroup()?.hasAuthority()).to.equal(true);
    suspend(leader);
    await cluster.run(SUSPENSION_MS);
    const next = cluster.findLeader();
    chai.expect(next).not.to.equal(undefined);
    chai.expect(next).not.to.equal(leader);
    chai.expect(cluster.get(leader).getGroup()?.hasAuthority()).to.equal(false);
    wake(leader);
    await cluster.run(SETTLED_MS);
    chai.expect(cluster.findLeader()).to.be.oneOf([next, leader]);
  });

  it("leads on after a short suspension, once its voters have answered again", async () => {
    const { leader } = simulatedCases.listRoles(cluster);
    const term = cluster.get(leader).getGroup()?.getTerm();
    suspend(leader);
    await cluster.run(200);
    chai.expect(cluster.get(leader).getGroup()?.hasAuthority()).to.equal(false);
    wake(leader);
    await cluster.run(LEASE_MS);
    chai.expect(cluster.findLeader()).to.equal(leader);
    chai.expect(cluster.get(leader).getGroup()?.getTerm()).to.equal(term);
  });

  it("leads on when its time of day was set forward", async () => {
    const { leader } = simulatedCases.listRoles(cluster);
    const term = cluster.get(leader).getGroup()?.getTerm();
    cluster.get(leader).wallOffsetMs += 60_000;
    await cluster.run(LEASE_MS);
    chai.expect(cluster.findLeader()).to.equal(leader);
    chai.expect(cluster.get(leader).getGroup()?.getTerm()).to.equal(term);
  });

  it("commits again after half of the stores were suspended at once", async () => {
    const { leader, followers } = simulatedCases.listRoles(cluster);
    const suspended = [leader, followers[0] ?? ""];
    for (const id of suspended) suspend(id);
    await cluster.run(SUSPENSION_MS);
    for (const id of suspended) wake(id);
    await cluster.run(SETTLED_MS);
    const before = cluster.countCommitted();
    await cluster.run(SETTLED_MS);
    chai.expect(cluster.countCommitted()).to.be.greaterThan(before + 50);
  });
});
