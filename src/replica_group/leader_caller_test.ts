import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as notLeaders from "./not_leader.ts";
import * as leaderCallers from "./leader_caller.ts";

const TIMEOUTS = { totalMs: 2_000, tryMs: 500 };
const CLOCK_STEP_MS = 20;

interface DoneReply {
  readonly kind: "done";
  readonly by: string;
}

describe("leader caller", () => {
  /** Ids of all stores. Non-voters do not know the leader. */
  const stores = Array.from({ length: 30 }, (_, index) => `s${index}`);
  let replicas = stores;
  let clock = new clocks.FakeClock(1_000);
  let called: string[] = [];
  let methods: string[] = [];
  /** When the timeout of each call ends, in monotonic ms. */
  let ends: number[] = [];
  /** Time that a probe takes, in ms. */
  let probeMs = 0;
  let leader = "s29";
  let reportedLeader: string | undefined;
  let unreachable: readonly string[] = [];
  /** Leaders that replicas name, and the reasons why they do not lead. */
  let namedLeaders: Readonly<Record<string, string>> = {};
  let reasons: Readonly<Record<string, notLeaders.NotLeaderReason>> = {};
  let lines: string[] = [];

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    called = [];
    methods = [];
    ends = [];
    probeMs = 0;
    leader = "s29";
    reportedLeader = undefined;
    unreachable = [];
    replicas = stores;
    namedLeaders = {};
    reasons = {};
    lines = [];
  });

  function getClient(id: string): rpc.Peer {
    return {
      notify: () => {},
      call: <T>(method: string, _params: object, timeoutMs: number) => {
        called.push(id);
        methods.push(method);
        if (method === "probe") clock.advance(probeMs);
        ends.push(clock.getMonotonicMs() + timeoutMs);
        if (unreachable.includes(id)) {
          return Promise.reject(new Error("the connection was not made"));
        }
        const reply = id === leader ? { kind: "done", by: id } : {
          kind: "notLeader",
          leader: namedLeaders[id],
          reason: reasons[id],
        };
        return Promise.resolve(reply as T);
      },
    };
  }

  function createCaller(): leaderCallers.LeaderCaller {
    return new leaderCallers.LeaderCaller({
      clock,
      log: new logs.Log("box", "warn", (line) => lines.push(line)),
      listReplicas: () => replicas,
      findLeader: () => reportedLeader,
      getClient,
    });
  }

  async function callOnce(
    caller: leaderCallers.LeaderCaller,
    options: leaderCallers.CallOptions = TIMEOUTS,
  ): Promise<string> {
    let answer: string | undefined;
    void caller.call<DoneReply>("read", {}, options).then((result) => {
      answer = result.kind === "ok" ? result.value.by : result.failure.code;
    });
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      if (answer !== undefined) return answer;
      clock.advance(CLOCK_STEP_MS);
    }
  }

  it("calls the leader reported by the directory before any other store", async () => {
    reportedLeader = "s29";
    chai.expect(await callOnce(createCaller())).to.equal("s29");
    chai.expect(called).to.deep.equal(["s29"]);
  });

  it("calls the others too if the reported leader is out of date", async () => {
    reportedLeader = "s3";
    leader = "s1";
    chai.expect(await callOnce(createCaller())).to.equal("s1");
    chai.expect(called[0]).to.equal("s3");
    chai.expect(called.length).to.be.lessThan(6);
  });

  it("calls a new leader as soon as it is reported", async () => {
    reportedLeader = "s3";
    unreachable = ["s3"];
    const caller = createCaller();
    const calling = callOnce(caller);
    reportedLeader = "s29";
    chai.expect(await calling).to.equal("s29");
    chai.expect(called.length).to.be.lessThan(4);
  });

  it("stays with a leader that answered", async () => {
    reportedLeader = "s29";
    const caller = createCaller();
    await callOnce(caller);
    reportedLeader = "s3";
    chai.expect(await callOnce(caller)).to.equal("s29");
    chai.expect(called).to.deep.equal(["s29", "s29"]);
  });

  it("calls the replicas in round-robin order while none names a leader", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "none";
    chai.expect(await callOnce(createCaller())).to.equal("noLeader");
    chai.expect(called.length).to.be.greaterThan(8);
    chai.expect(called).to.deep.equal(
      called.map((_, index) => replicas[index % replicas.length]),
    );
  });

  it("shares the round-robin position between concurrent calls", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "none";
    const caller = createCaller();
    const first = callOnce(caller);
    await new Promise((resolve) => setImmediate(resolve));
    await Promise.all([first, callOnce(caller)]);
    const lastTried = lines.map((line) => /lastTried=(\S+)/.exec(line)?.[1]);
    chai.expect(lastTried.toSorted()).to.deep.equal([
      "s0:notLeader,s2:notLeader,s0:notLeader,s2:notLeader",
      "s1:notLeader,s3:notLeader,s1:notLeader,s3:notLeader",
    ]);
  });

  it("calls a replica out of order if another one follows it", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "none";
    namedLeaders = { s1: "s3", s3: "s3" };
    await callOnce(createCaller());
    chai.expect(called.slice(0, 4)).to.deep.equal(["s0", "s1", "s3", "s2"]);
    chai.expect(called.filter((id) => id === "s1").length).to.be.lessThan(
      called.filter((id) => id === "s3").length,
    );
  });

  it("calls a reported leader out of order, repeatedly", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "none";
    reportedLeader = "s3";
    await callOnce(createCaller());
    chai.expect(called.slice(0, 4)).to.deep.equal(["s3", "s0", "s3", "s1"]);
  });

  // Calls to a stale leader must not advance the round-robin position, or the
  // actual leader may be skipped in every round.
  it("calls every replica although one names a stale leader", async () => {
    for (const [stale, former, real] of [[1, 3, 2], [0, 3, 1], [1, 0, 2]]) {
      replicas = ["s0", "s1", "s2", "s3"];
      namedLeaders = { [`s${stale}`]: `s${former}` };
      leader = `s${real}`;
      called = [];
      const answer = await callOnce(createCaller());
      chai.expect(answer, called.slice(0, 9).join(" ")).to.equal(leader);
    }
  });

  it("logs the last answer of each replica once if no leader is found", async () => {
    replicas = ["s0", "s1", "s2"];
    leader = "none";
    unreachable = ["s2"];
    reasons = {
      s0: {
        kind: "leaderless",
        role: "preCandidate",
        term: 5,
        sinceMs: 900,
        lastIndex: 7,
        isAdmitted: true,
        isInSet: true,
        voters: 3,
        writingMs: 0,
      },
      s1: { kind: "notStarted" },
    };
    await callOnce(createCaller());
    chai.expect(lines).to.have.length(1);
    const lastAnswers = /said=(\S+)/.exec(lines[0] ?? "")?.[1]?.split(",");
    chai.expect(lastAnswers?.toSorted()).to.deep.equal([
      "s0:preCandidate:term5:since900ms:last7:voters3",
      "s1:notStarted",
      "s2:internal",
    ]);
  });

  it("logs why each replica does not lead before the last attempts", async () => {
    replicas = ["s0", "s1"];
    leader = "none";
    await callOnce(createCaller());
    chai.expect(lines).to.have.length(1);
    chai.expect(lines[0]).to.match(
      / replicas=2 tries=\d+ said=s\d:\S+ lastTried=s\d:\S+\n$/,
    );
  });

  it("logs the answers of at most the last twelve replicas called", async () => {
    leader = "none";
    await callOnce(createCaller());
    const lastAnswers = /said=(\S+)/.exec(lines[0] ?? "")?.[1]?.split(",") ??
      [];
    const last = called.slice(-12).map((id) => `${id}:notLeader`);
    chai.expect(lastAnswers).to.deep.equal(last);
  });

  // Guards against callers that keep a late leader late by calling it without end.
  it("calls a leader without authority ever more seldom", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "none";
    namedLeaders = { s0: "s0", s1: "s0", s2: "s0", s3: "s0" };
    await callOnce(createCaller());
    chai.expect(called.length).to.be.within(6, 12);
  });

  it("makes at most six attempts in the time of an operator's call", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "none";
    await callOnce(createCaller(), { totalMs: 900, tryMs: 450 });
    chai.expect(called.length).to.be.within(4, 6);
  });

  it("sends a large call again only to a leader", async () => {
    replicas = ["s0", "s1", "s2", "s3"];
    leader = "s2";
    const options = { ...TIMEOUTS, probeMethod: "probe" };
    chai.expect(await callOnce(createCaller(), options)).to.equal("s2");
    chai.expect(methods).to.deep.equal(["read", "probe", "probe", "read"]);
    chai.expect(called).to.deep.equal(["s0", "s1", "s2", "s2"]);
  });

  // Guards against a call that outlasts its time by that of its probe.
  it("ends within its time although a probe is slow", async () => {
    replicas = ["s0"];
    leader = "s0";
    namedLeaders = {};
    const caller = createCaller();
    unreachable = ["s0"];
    const options = { totalMs: 600, tryMs: 500, probeMethod: "probe" };
    probeMs = 200;
    const calling = callOnce(caller, options);
    await new Promise((resolve) => setImmediate(resolve));
    unreachable = [];
    chai.expect(await calling).to.equal("s0");
    chai.expect(methods).to.deep.equal(["read", "probe", "read"]);
    chai.expect(ends.at(-1)).to.be.at.most(1_000 + options.totalMs);
  });

  it("does not take a failed probe for a call that may have run", async () => {
    replicas = ["s0", "s1"];
    leader = "none";
    const caller = createCaller();
    const calling = callOnce(caller, { ...TIMEOUTS, probeMethod: "probe" });
    await new Promise((resolve) => setImmediate(resolve));
    unreachable = ["s0", "s1"];
    chai.expect(await calling).to.equal("noLeader");
  });
});
