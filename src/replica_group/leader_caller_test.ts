import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as leaderCallers from "./leader_caller.ts";

const TIMES = { totalMs: 2_000, tryMs: 500 };
const STEP_MS = 20;

interface DoneReply {
  readonly kind: "done";
  readonly by: string;
}

describe("leader caller", () => {
  /** Spares and voters; spares do not know who leads. */
  const replicas = Array.from({ length: 30 }, (_, index) => `s${index}`);
  let clock = new clocks.FakeClock(1_000);
  let asked: string[] = [];
  let leader = "s29";
  let told: string | undefined;
  let dead: readonly string[] = [];

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    asked = [];
    leader = "s29";
    told = undefined;
    dead = [];
  });

  function getClient(id: string): rpc.Peer {
    return {
      tell: () => {},
      call: <T>() => {
        asked.push(id);
        if (dead.includes(id)) {
          return Promise.reject(new Error("the connection was not made"));
        }
        const reply = id === leader
          ? { kind: "done", by: id }
          : { kind: "notLeader", leader: undefined };
        return Promise.resolve(reply as T);
      },
    };
  }

  function createCaller(): leaderCallers.LeaderCaller {
    return new leaderCallers.LeaderCaller({
      clock,
      log: new logs.Log("box", "error", () => {}),
      listReplicas: () => replicas,
      findLeader: () => told,
      getClient,
    });
  }

  async function callOnce(
    caller: leaderCallers.LeaderCaller,
  ): Promise<string> {
    let answer: string | undefined;
    void caller.call<DoneReply>("read", {}, TIMES).then((result) => {
      answer = result.kind === "ok" ? result.value.by : result.failure.code;
    });
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      if (answer !== undefined) return answer;
      clock.extendBy(STEP_MS);
    }
  }

  it("asks the box that the news name first, before any spare", async () => {
    told = "s29";
    chai.expect(await callOnce(createCaller())).to.equal("s29");
    chai.expect(asked).to.deep.equal(["s29"]);
  });

  it("asks the others too where the news are old", async () => {
    told = "s3";
    leader = "s1";
    chai.expect(await callOnce(createCaller())).to.equal("s1");
    chai.expect(asked[0]).to.equal("s3");
    chai.expect(asked.length).to.be.lessThan(6);
  });

  it("asks a new leader as soon as the news name it", async () => {
    told = "s3";
    dead = ["s3"];
    const caller = createCaller();
    const calling = callOnce(caller);
    told = "s29";
    chai.expect(await calling).to.equal("s29");
    chai.expect(asked.length).to.be.lessThan(4);
  });

  it("keeps to a leader that answered", async () => {
    told = "s29";
    const caller = createCaller();
    await callOnce(caller);
    told = "s3";
    chai.expect(await callOnce(caller)).to.equal("s29");
    chai.expect(asked).to.deep.equal(["s29", "s29"]);
  });
});
