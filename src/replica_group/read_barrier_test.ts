import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as readBarriers from "./read_barrier.ts";

const TIMEOUT_MS = 300;
const LEADER = "leader";
const FOLLOWER = "follower";

/** A replica whose state moves as the test says. */
class FakeReplica implements readBarriers.BarrierReplica {
  isLeading = false;
  leader: string | undefined = LEADER;
  appliedIndex = 0;

  hasAuthority(): boolean {
    return this.isLeading;
  }

  getLeader(): string | undefined {
    return this.leader;
  }

  getAppliedIndex(): number {
    return this.appliedIndex;
  }
}

describe("read barrier", () => {
  const clock = new clocks.FakeClock(1_000);
  let leader = new FakeReplica();
  let follower = new FakeReplica();
  let changed = new csp.Signal();
  let barrier: readBarriers.ReadBarrier;
  let isLeaderDown = false;

  beforeEach(() => {
    leader = new FakeReplica();
    leader.isLeading = true;
    follower = new FakeReplica();
    changed = new csp.Signal();
    isLeaderDown = false;
    const handlers = new Map<string, () => unknown>();
    createBarrier(leader, new csp.Signal(), handlers);
    barrier = createBarrier(follower, changed, new Map(), handlers);
  });

  function createBarrier(
    replica: FakeReplica,
    signal: csp.Signal,
    ownHandlers: Map<string, () => unknown>,
    peerHandlers: ReadonlyMap<string, () => unknown> = ownHandlers,
  ): readBarriers.ReadBarrier {
    const peer: rpc.Peer = {
      notify: () => {},
      call: async <T>(method: string) => {
        await Promise.resolve();
        if (isLeaderDown) throw new Error("the connection closed");
        return peerHandlers.get(method)?.() as T;
      },
    };
    return new readBarriers.ReadBarrier({
      clock,
      name: "stores",
      replica,
      changed: signal,
      peers: { get: () => peer },
      server: {
        add: (method, handler) => ownHandlers.set(method, handler as never),
      },
    });
  }

  async function settle(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  it("passes at once where the replica holds what its leader holds", async () => {
    leader.appliedIndex = 7;
    follower.appliedIndex = 7;
    chai.expect(await barrier.awaitLeaderState(TIMEOUT_MS)).to.equal(true);
  });

  it("waits for what was acknowledged before the read, and for no more", async () => {
    leader.appliedIndex = 7;
    follower.appliedIndex = 5;
    let hasPassed: boolean | undefined;
    const passing = barrier.awaitLeaderState(TIMEOUT_MS).then((is) =>
      hasPassed = is
    );
    await settle();
    leader.appliedIndex = 9;
    follower.appliedIndex = 6;
    changed.notify();
    await settle();
    chai.expect(hasPassed).to.equal(undefined);
    follower.appliedIndex = 7;
    changed.notify();
    await passing;
    chai.expect(hasPassed).to.equal(true);
  });

  it("does not pass where the replica does not catch up in time", async () => {
    leader.appliedIndex = 7;
    const passing = barrier.awaitLeaderState(TIMEOUT_MS);
    await settle();
    clock.advance(TIMEOUT_MS);
    chai.expect(await passing).to.equal(false);
  });

  it("does not pass without a leader that is sure of its lead", async () => {
    follower.leader = undefined;
    chai.expect(await barrier.awaitLeaderState(TIMEOUT_MS)).to.equal(false);
    follower.leader = LEADER;
    leader.isLeading = false;
    leader.leader = FOLLOWER;
    chai.expect(await barrier.awaitLeaderState(TIMEOUT_MS)).to.equal(false);
    leader.isLeading = true;
    isLeaderDown = true;
    chai.expect(await barrier.awaitLeaderState(TIMEOUT_MS)).to.equal(false);
  });
});
