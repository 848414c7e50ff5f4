import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as itemFixtures from "./item_fixture_test.ts";
import * as protocol from "./protocol.ts";
import type * as submissions from "./submission.ts";
import * as submissionFixtures from "./submission_fixture_test.ts";
import * as stateMachines from "./submission_state_machine.ts";
import * as services from "./submission_service.ts";

const SUBMISSION = submissionFixtures.createSubmission("s-1", [
  itemFixtures.createItem("i-1"),
  itemFixtures.createItem("i-2"),
]);

const RESULT: submissions.ItemResult = {
  id: "i-1",
  state: "completed",
  text: "text",
  versions: [1],
  score: undefined,
};

const REQUEST: protocol.ReadRequest = {
  id: "s-1",
  sender: { kind: "unasked" },
  after: 0,
  waitMs: 0,
  failureDomain: "d",
  mayFollow: true,
};

// Guards against readers that all turn to a leader that is late, once its followers
// can't confirm their state any more.
describe("read of results while no replica has authority", () => {
  let machine = new stateMachines.SubmissionStateMachine(() => {});
  let barrierCalls = 0;

  beforeEach(() => {
    barrierCalls = 0;
    machine = new stateMachines.SubmissionStateMachine(() => {});
    machine.apply({ kind: "acceptSubmission", submission: SUBMISSION });
    machine.apply({
      kind: "recordResults",
      results: [{ submission: "s-1", result: RESULT }],
    });
  });

  async function read(
    changes: Partial<protocol.ReadRequest>,
  ): Promise<protocol.LeaderReply<protocol.ReadReply>> {
    const methods = new Map<string, rpc.RpcHandler>();
    new services.SubmissionService({
      clock: new clocks.FakeClock(),
      log: new logs.Log("box", "error", () => {}),
      server: { add: (name, method) => methods.set(name, method) },
      group: {
        hasAuthority: () => false,
        getStatus: () => undefined,
        listVoters: () => [],
        createNotLeader: () => ({ kind: "notLeader", leader: undefined }),
      } as unknown as replicaGroups.ReplicaGroup,
      barrier: {
        awaitLeaderState: () => {
          barrierCalls += 1;
          return Promise.resolve(false);
        },
      } as unknown as replicaGroups.ReadBarrier,
      getFailureDomain: () => undefined,
      id: "a",
      stateMachine: machine,
      stateChanged: new csp.Signal(),
      wantedVoters: 3,
      memoryGuard: { hasRoomFor: () => true },
      listStoreIds: () => [],
    });
    const handle = methods.get(protocol.METHODS.read);
    return await handle?.({ ...REQUEST, ...changes } as never) as never;
  }

  it("is answered by any replica that holds further results", async () => {
    for (const mayFollow of [true, false]) {
      const reply = await read({ mayFollow });
      chai.expect(reply).to.deep.equal({
        kind: "done",
        value: {
          page: { total: 2, next: 1, results: [RESULT], isEnded: false },
          nearReplica: undefined,
        },
      });
    }
    chai.expect(barrierCalls).to.equal(0);
  });

  it("is left to the leader if there are no further results", async () => {
    chai.expect((await read({ after: 1 })).kind).to.equal("notLeader");
    chai.expect(barrierCalls).to.equal(1);
  });

  it("is left to the leader for a submission that is not known", async () => {
    chai.expect((await read({ id: "s-2" })).kind).to.equal("notLeader");
  });

  it("tells nothing to a sender without access", async () => {
    const sender = {
      kind: "account",
      name: "other",
      priority: undefined,
    } as const;
    const owned = {
      ...SUBMISSION,
      id: "s-3",
      sender: {
        kind: "account",
        name: "owner",
        priority: undefined,
      } as const,
    };
    machine.apply({ kind: "acceptSubmission", submission: owned });
    machine.apply({
      kind: "recordResults",
      results: [{ submission: "s-3", result: RESULT }],
    });
    const reply = await read({ id: "s-3", sender });
    chai.expect(reply.kind).to.equal("notLeader");
  });
});
