import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as replicaReaders from "./_replica_reader.ts";

const QUERY = {
  sender: { kind: "unasked" } as const,
  id: "s",
  after: 0,
  waitMs: 0,
};
const TIMEOUTS = { totalMs: 1_000, tryMs: 500 };
/** Longer than a near replica is asked without the leader's word, in ms. */
const EXPIRED_MS = 10_001;

type ReadReply = submissions.LeaderReply<submissions.ReadReply>;

function createPage(next: number): submissions.ResultPage {
  return { total: 9, next, results: [], isEnded: false };
}

describe("near reader", () => {
  let clock = new clocks.FakeClock();
  let calls: string[] = [];
  let answers: Record<string, ReadReply | Error> = {};
  let reader: replicaReaders.ReplicaReader;

  beforeEach(() => {
    clock = new clocks.FakeClock();
    calls = [];
    answers = {
      leader: {
        kind: "done",
        value: { page: createPage(1), nearReplica: "near" },
      },
      near: {
        kind: "done",
        value: { page: createPage(2), nearReplica: "near" },
      },
    };
    const log = new logs.Log("box", "error", () => {});
    const stores = new replicaGroups.LeaderCaller({
      clock,
      log,
      listReplicas: () => ["leader"],
      findLeader: () => undefined,
      getClient: getPeer,
    });
    reader = new replicaReaders.ReplicaReader({
      clock,
      log,
      peers: { get: getPeer },
      stores,
      failureDomain: "z1",
    });
  });

  function getPeer(id: string): rpc.Peer {
    return {
      notify: () => {},
      call: <T>(_method: string, params: object) => {
        const { mayFollow, failureDomain } = params as submissions.ReadRequest;
        chai.expect(failureDomain).to.equal("z1");
        chai.expect(mayFollow).to.equal(id === "near");
        calls.push(id);
        const answer = answers[id];
        return answer instanceof Error
          ? Promise.reject(answer)
          : Promise.resolve(answer as T);
      },
    };
  }

  async function readNext(): Promise<number | string> {
    const read = await reader.read(QUERY, TIMEOUTS);
    return read.kind === "ok" ? read.value.next : read.failure.code;
  }

  it("asks the replica that the leader named, until its time is over", async () => {
    chai.expect(await readNext()).to.equal(1);
    chai.expect(await readNext()).to.equal(2);
    chai.expect(await readNext()).to.equal(2);
    clock.advance(EXPIRED_MS);
    chai.expect(await readNext()).to.equal(1);
    chai.expect(calls).to.deep.equal(["leader", "near", "near", "leader"]);
  });

  it("asks the leader where the near replica fails or can't tell", async () => {
    await readNext();
    const refusals: readonly (ReadReply | Error)[] = [
      new Error("the connection closed"),
      { kind: "notLeader", leader: undefined },
      { kind: "unknown" },
    ];
    for (const refusal of refusals) {
      answers["near"] = refusal;
      chai.expect(await readNext()).to.equal(1);
    }
    chai.expect(calls).to.deep.equal([
      "leader",
      ...["near", "leader", "near", "leader", "near", "leader"],
    ]);
  });

  it("goes on with the leader where no replica is near", async () => {
    answers["leader"] = {
      kind: "done",
      value: { page: createPage(3), nearReplica: undefined },
    };
    chai.expect(await readNext()).to.equal(3);
    chai.expect(await readNext()).to.equal(3);
    chai.expect(calls).to.deep.equal(["leader", "leader"]);
  });

  it("says that a submission is unknown only on the leader's word", async () => {
    await readNext();
    answers["near"] = { kind: "unknown" };
    answers["leader"] = { kind: "unknown" };
    chai.expect(await readNext()).to.equal("unknownStep");
  });
});
