import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as dutyLeases from "./duty_lease.ts";

const LEASE_MS = 3_000;
/** Lease, its margin and two check intervals, in ms. */
const CLAIM_DELAY_MS = LEASE_MS + 250 + 80;

/** A replica group that this box leads, and its replicated state. */
class FakeGroup {
  readonly #clock: clocks.FakeClock;
  #leaderSinceMs: number;
  isLeader = true;
  /** Whether a quorum acknowledges proposals. */
  hasQuorum = true;
  holder: string | undefined;
  term = 7;

  constructor(clock: clocks.FakeClock) {
    this.#clock = clock;
    this.#leaderSinceMs = clock.getMonotonicMs();
  }

  hasAuthority(): boolean {
    return this.isLeader;
  }

  getReignMs(): number {
    return this.#clock.getMonotonicMs() - this.#leaderSinceMs;
  }

  getTerm(): number {
    return this.term;
  }

  /** Becomes leader in a new term. */
  startTerm(): void {
    this.term += 1;
    this.isLeader = true;
    this.#leaderSinceMs = this.#clock.getMonotonicMs();
  }

  propose(command: dutyLeases.NoteHolder): Promise<results.Result<null>> {
    if (!this.hasQuorum) {
      return Promise.resolve(
        results.createFailure("changeUnknown", "no quorum"),
      );
    }
    this.holder = command.box;
    return Promise.resolve(results.createOk(null));
  }

  getHolder(): string | undefined {
    return this.holder;
  }

  listRetiring(): readonly string[] {
    return [];
  }

  listVoters(): readonly string[] {
    return [];
  }

  getStatus(): undefined {
    return undefined;
  }

  transferTo(): void {}
}

describe("duty lease", () => {
  let clock = new clocks.FakeClock();
  let group = new FakeGroup(clock);
  let holder = createLease();

  function createLease(): dutyLeases.DutyLease {
    return new dutyLeases.DutyLease({
      clock,
      log: new logs.Log("box", "error", () => {}),
      metrics: new metrics.FleetMetrics(),
      group: group as unknown as replicaGroups.ReplicaGroup,
      machine: group,
      directory: {
        findByName: () => undefined,
      } as unknown as fleet.BoxDirectory,
      box: "box-a",
      id: "a",
      leaseMs: LEASE_MS,
    });
  }

  beforeEach(() => {
    clock = new clocks.FakeClock();
    group = new FakeGroup(clock);
    holder = createLease();
    holder.start();
  });

  afterEach(() => holder.stop());

  /** Advances the clock in steps, so that timers and promises alternate. */
  async function wait(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 20) {
      clock.advance(20);
      await Promise.resolve();
    }
  }

  it("permits calls only after the previous holder's lease has expired", async () => {
    group.holder = "box-b";
    await wait(LEASE_MS);
    chai.expect(holder.canAct()).to.equal(false);
    await wait(CLAIM_DELAY_MS - LEASE_MS);
    chai.expect(holder.canAct()).to.equal(true);
    chai.expect(holder.getFence()).to.equal(7);
  });

  it("permits calls at once if this box was the previous holder", async () => {
    await wait(CLAIM_DELAY_MS);
    group.isLeader = false;
    chai.expect(holder.canAct()).to.equal(false);
    group.startTerm();
    chai.expect(holder.canAct()).to.equal(true);
    chai.expect(holder.getFence()).to.equal(8);
  });

  it("permits no calls until a quorum has committed the claim", async () => {
    group.holder = "box-b";
    group.hasQuorum = false;
    await wait(2 * CLAIM_DELAY_MS);
    chai.expect(holder.canAct()).to.equal(false);
    group.hasQuorum = true;
    await wait(100);
    chai.expect(holder.canAct()).to.equal(true);
  });

  it("permits no calls after another box has claimed the lease", async () => {
    await wait(CLAIM_DELAY_MS);
    group.isLeader = false;
    group.holder = "box-b";
    group.startTerm();
    chai.expect(holder.canAct()).to.equal(false);
    await wait(LEASE_MS);
    chai.expect(holder.canAct()).to.equal(false);
  });

  it("permits no calls after it is stopped", async () => {
    await wait(CLAIM_DELAY_MS);
    holder.stop();
    chai.expect(holder.canAct()).to.equal(false);
  });
});
