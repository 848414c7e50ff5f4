import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as nearReaders from "./_near_reader.ts";

const WANTED = {
  sender: { kind: "unasked" } as const,
  id: "s",
  after: 0,
  waitMs: 0,
};
const TIMES = { totalMs: 1_000, tryMs: 500 };
/** Longer than a near replica is asked without the leader's word, in ms. */
const LONG_MS = 10_001;

type ReadReply = submissions.LeaderReply<submissions.ReadReply>;

function createPage(next: number): submissions.ResultPage {
  return { total: 9, next, results: [], isEnded: false };
}

describe("near reader", () => {
  let clock = new clocks.FakeClock();
  let asked: string[] = [];
  let answers: Record<string, ReadReply | Error> = {};
  let reader: nearReaders.NearReader;

  beforeEach(() => {
    clock = new clocks.FakeClock();
    asked = [];
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
    reader = new nearReaders.NearReader({
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
        asked.push(id);
        const answer = answers[id];
        return answer instanceof Error
          ? Promise.reject(answer)
          : Promise.resolve(answer as T);
      },
    };
  }

  async function readNext(): Promise<number | string> {
    const read = await reader.read(WANTED, TIMES);
    return read.kind === "ok" ? read.value.next : read.failure.code;
  }

  it("asks the replica that the leader named, until its time is over", async () => {
    chai.expect(await readNext()).to.equal(1);
    chai.expect(await readNext()).to.equal(2);
    chai.expect(await readNext()).to.equal(2);
    clock.advance(LONG_MS);
    chai.expect(await readNext()).to.equal(1);
    chai.expect(asked).to.deep.equal(["leader", "near", "near", "leader"]);
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
    chai.expect(asked).to.deep.equal([
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
    chai.expect(asked).to.deep.equal(["leader", "leader"]);
  });

  it("says that a submission is unknown only on the leader's word", async () => {
    await readNext();
    answers["near"] = { kind: "unknown" };
    answers["leader"] = { kind: "unknown" };
    chai.expect(await readNext()).to.equal("unknownStep");
  });
});
